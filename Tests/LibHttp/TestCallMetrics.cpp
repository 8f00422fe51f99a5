#include <LibHttp/CallMetrics.h>

#include <doctest/doctest.h>

using namespace radishcross;

namespace {

std::string pageAfterCallOf(std::string_view service) {
  base::Metrics metrics;
  http::CallMetrics counters(metrics);
  counters.ended(service, config::Rank::Standard, calls::CallOutcome::Answered,
                 base::ResultCode::Ok, {});
  return metrics.prometheusText();
}

bool hasServiceLabel(const std::string &page, std::string_view label) {
  return page.find("{service=\"" + std::string(label) + "\",") !=
         std::string::npos;
}

} // namespace

TEST_CASE("label values keep bytes beyond ASCII, whatever the sign of char") {
  CHECK(hasServiceLabel(pageAfterCallOf("caf\xC3\xA9"), "caf\xC3\xA9"));
}

TEST_CASE("label values have no quotes, backslashes or control characters") {
  CHECK(hasServiceLabel(pageAfterCallOf("a\"b\\c\nd"), "a_b_c_d"));
}
