#pragma once

#include <LibBase/Address.h>
#include <LibBase/Metrics.h>
#include <LibLog/PlatformClient.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

namespace radishcross::http {

/// The platform's log service over HTTP:
///   POST /v1/records            body: the record's bytes -> {"offset": N}
///   GET  /v1/records?from=N&maximum=N&wait_ms=N
///     -> {"first": N, "end": N, "records": [{"offset": N, "bytes": "..."}]}
/// Records are UTF-8 text. 4xx and 503 say that nothing was appended; any other
/// failure after bytes were sent is Unknown.
/// Addresses are tried in turn; a failed append after bytes were sent is
/// Unknown and is not sent again here.
class HttpPlatformClient final : public log::PlatformClient {
public:
  HttpPlatformClient(boost::asio::io_context &context,
                     std::vector<base::Address> addresses,
                     base::Metrics &metrics);
  ~HttpPlatformClient() override;
  void append(std::string bytes,
              std::function<void(log::AppendAnswer)> done) override;
  void read(log::Offset from, uint32_t maximumRecords, base::Duration wait,
            std::function<void(log::ReadAnswer)> done) override;

private:
  struct Implementation;
  std::shared_ptr<Implementation> Held;
};

} // namespace radishcross::http
