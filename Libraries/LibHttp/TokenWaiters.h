#pragma once

#include <LibTenants/AllotmentPort.h>

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <string>
#include <string_view>

namespace radishcross::http {

/// The requests of each tenant that wait for tokens which their node has asked
/// for. All are woken, oldest first, when an answer has come.
class TokenWaiters final : public tenants::TokenListener {
public:
  /// One waiting request; its destructor removes it.
  class Entry {
  public:
    /// \p wake is cancelled once tokens have arrived.
    Entry(TokenWaiters &all, const std::string &tenant,
          boost::asio::steady_timer &wake);
    ~Entry();
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

  private:
    using Timers = std::list<boost::asio::steady_timer *>;
    friend class TokenWaiters;
    TokenWaiters &All;
    std::map<std::string, Timers, std::less<>>::iterator Tenant;
    Timers::iterator Own;
  };

  void tokensArrived(std::string_view tenant) override;

private:
  std::map<std::string, Entry::Timers, std::less<>> Waiting;
};

} // namespace radishcross::http
