#pragma once

#include <LibBase/Clock.h>
#include <LibCalls/Quarantine.h>

#include <functional>
#include <string>
#include <string_view>

namespace radishcross::node {

/// Exchanges suspicions and decisions of the quarantine with other nodes as
/// gossip notices. The topic is "quarantine/FINGERPRINT/CRASHES" with the
/// fingerprint in hexadecimal; the text is the name of the service.
class QuarantineNotices {
public:
  using Publish = std::function<void(std::string topic, std::string text,
                                     base::Duration lifetime)>;

  explicit QuarantineNotices(calls::Quarantine &quarantine);

  /// Publishes what this node has found since the last call.
  void publish(const Publish &publish, base::TimePoint now);

  /// Handles a received notice; notices of other kinds are ignored.
  void receive(std::string_view topic, std::string_view text,
               base::TimePoint now);

private:
  calls::Quarantine *Table;
};

} // namespace radishcross::node
