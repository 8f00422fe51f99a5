#include <LibBase/Address.h>

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace radishcross::base {

std::string Address::text() const {
  bool isV6 = Host.find(':') != std::string::npos;
  return (isV6 ? "[" + Host + "]" : Host) + ":" + std::to_string(Port);
}

std::optional<Address> parseAddress(std::string_view text, LastReason &reason) {
  auto fail = [&] {
    return reason.fail(ResultCode::BadAddress,
                       "found \"" + std::string(text.substr(0, 64)) +
                           "\", expected IP:PORT");
  };
  size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return fail();
  std::string_view host = text.substr(0, colon);
  std::string_view digits = text.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    host = host.substr(1, host.size() - 2);
  boost::system::error_code ec;
  auto ip = boost::asio::ip::make_address(std::string(host), ec);
  if (ec)
    return fail();
  uint16_t port = 0;
  auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size())
    return fail();
  return Address{ip.to_string(), port};
}

std::optional<Address> parseRemoteAddress(std::string_view text,
                                          LastReason &reason) {
  auto out = parseAddress(text, reason);
  if (out && out->Port == 0)
    return reason.fail(ResultCode::BadAddress,
                       "found port 0, expected a port from 1 to 65535");
  return out;
}

} // namespace radishcross::base
