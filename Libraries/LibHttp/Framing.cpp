#include <LibHttp/Framing.h>

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <string>
#include <vector>

namespace radishcross::http {

namespace {

namespace bh = boost::beast::http;

constexpr bh::field HopByHopFields[] = {bh::field::connection,
                                        bh::field::keep_alive,
                                        bh::field::proxy_connection,
                                        bh::field::te,
                                        bh::field::trailer,
                                        bh::field::transfer_encoding,
                                        bh::field::upgrade,
                                        bh::field::proxy_authenticate,
                                        bh::field::proxy_authorization,
                                        bh::field::expect};

/// Connection options that name no field to remove. Host and Content-Length are
/// end-to-end fields and must not be listed (RFC 9110, 7.6.1).
constexpr boost::beast::string_view NonRemovableFields[] = {
    "close", "keep-alive", "host", "content-length"};

std::string_view toStringView(boost::beast::string_view s) {
  return {s.data(), s.size()};
}

bool isNumber(std::string_view s) {
  constexpr size_t MaximumDigits = 18;
  return !s.empty() && s.size() <= MaximumDigits &&
         std::all_of(s.begin(), s.end(),
                     [](char c) { return c >= '0' && c <= '9'; });
}

/// The fields that framing and routing depend on, collected in one pass.
struct HeadFields {
  explicit HeadFields(const bh::fields &fields) {
    for (const auto &it : fields) {
      if (it.name() == bh::field::content_length)
        ++Lengths, Length = toStringView(it.value());
      else if (it.name() == bh::field::transfer_encoding)
        ++Codings, Coding = toStringView(it.value());
      else if (it.name() == bh::field::host)
        ++Hosts;
      else if (it.name() == bh::field::upgrade)
        ++Upgrades;
      else if (it.name() == bh::field::expect)
        Expect = toStringView(it.value());
    }
  }

  size_t Lengths = 0;
  size_t Codings = 0;
  size_t Hosts = 0;
  size_t Upgrades = 0;
  std::string_view Length;
  std::string_view Coding;
  std::string_view Expect;
};

/// Checks the fields that define the body's length; returns the error, or an
/// empty text.
std::string_view findLengthError(const HeadFields &head, unsigned version) {
  if (head.Lengths > 1)
    return "Content-Length appears more than once";
  if (head.Codings > 1)
    return "Transfer-Encoding appears more than once";
  if (head.Lengths != 0 && head.Codings != 0)
    return "both Content-Length and Transfer-Encoding are given";
  if (head.Lengths != 0 && !isNumber(head.Length))
    return "Content-Length is not a number";
  if (head.Codings != 0 && !boost::beast::iequals(head.Coding, "chunked"))
    return "Transfer-Encoding is not chunked";
  if (head.Codings != 0 && version < 11)
    return "Transfer-Encoding is not part of HTTP/1.0";
  return {};
}

std::string_view findRequestError(const Request &request) {
  if (request.version() != 11 && request.version() != 10)
    return "the version is not HTTP/1.1 or HTTP/1.0";
  HeadFields head(request);
  if (std::string_view fault = findLengthError(head, request.version());
      !fault.empty())
    return fault;
  if (head.Hosts > 1 || (head.Hosts == 0 && request.version() == 11))
    return "exactly one Host field is required";
  if (request.method() == bh::verb::connect)
    return "CONNECT is not supported";
  if (head.Upgrades != 0)
    return "Upgrade is not supported";
  std::string_view target = toStringView(request.target());
  if (target.empty() || target.front() != '/')
    return "the target is not a path";
  if (isAmbiguousPath(target))
    return "the path contains dot segments, a backslash or a fragment";
  if (!head.Expect.empty() &&
      !boost::beast::iequals(head.Expect, "100-continue"))
    return "Expect is not 100-continue";
  return {};
}

/// Returns the length of the segment's leading dot, plain or percent-encoded,
/// or 0.
size_t dotLength(std::string_view segment) {
  if (segment.starts_with('.'))
    return 1;
  if (segment.size() >= 3 && segment[0] == '%' && segment[1] == '2' &&
      (segment[2] == 'e' || segment[2] == 'E'))
    return 3;
  return 0;
}

bool isDotSegment(std::string_view segment) {
  size_t n = dotLength(segment);
  if (n == 0)
    return false;
  segment.remove_prefix(n);
  return segment.empty() || dotLength(segment) == segment.size();
}

} // namespace

bool checkRawHead(std::string_view head, base::LastReason &reason) {
  std::string_view fault;
  for (size_t i = 0; i < head.size() && fault.empty(); ++i) {
    char c = head[i];
    if (c == '\0')
      fault = "NUL in the message head";
    if (c == '\r' && (i + 1 == head.size() || head[i + 1] != '\n'))
      fault = "bare CR in the message head";
    if (c != '\n')
      continue;
    if (i == 0 || head[i - 1] != '\r')
      fault = "bare LF in the message head";
    if (i + 1 < head.size() && (head[i + 1] == ' ' || head[i + 1] == '\t'))
      fault = "folded line in the message head";
  }
  if (fault.empty())
    return true;
  reason.fail(base::ResultCode::BadRequest, std::string(fault));
  return false;
}

bool checkRequestHead(const Request &request, base::LastReason &reason) {
  std::string_view fault = findRequestError(request);
  if (fault.empty())
    return true;
  reason.fail(base::ResultCode::BadRequest, std::string(fault));
  return false;
}

bool checkResponseHead(const Response::Whole &response,
                       base::LastReason &reason) {
  constexpr unsigned MinStatus = 100;
  constexpr unsigned MaxStatus = 599;
  std::string_view fault =
      findLengthError(HeadFields(response), response.version());
  if (response.result_int() < MinStatus || response.result_int() > MaxStatus)
    fault = "the status code is not between 100 and 599";
  if (fault.empty())
    return true;
  reason.fail(base::ResultCode::CallOutcomeUnknown,
              "invalid response: " + std::string(fault));
  return false;
}

bool isAmbiguousPath(std::string_view path) {
  if (path.find_first_of("\\#") != std::string_view::npos)
    return true;
  path = path.substr(0, path.find('?'));
  while (!path.empty()) {
    path.remove_prefix(1);
    std::string_view segment = path.substr(0, path.find('/'));
    if (isDotSegment(segment))
      return true;
    path.remove_prefix(segment.size());
  }
  return false;
}

void frameForNextHop(Request &request) {
  request.version(11);
  // Optional in HTTP/1.0.
  if (request.count(bh::field::host) == 0)
    request.set(bh::field::host, "");
  bool hasBody =
      !request.body().empty() || request.count(bh::field::content_length) != 0;
  if (hasBody)
    request.content_length(request.body().size());
}

void removeHopByHopFields(bh::fields &fields) {
  std::vector<std::string> named;
  for (const auto &token : bh::token_list(fields[bh::field::connection]))
    if (std::none_of(std::begin(NonRemovableFields),
                     std::end(NonRemovableFields),
                     [&](boost::beast::string_view it) {
                       return boost::beast::iequals(token, it);
                     }))
      named.emplace_back(token.data(), token.size());
  for (const std::string &name : named)
    fields.erase(name);
  for (auto it = fields.begin(); it != fields.end();)
    if (std::find(std::begin(HopByHopFields), std::end(HopByHopFields),
                  it->name()) != std::end(HopByHopFields))
      it = fields.erase(it);
    else
      ++it;
}

} // namespace radishcross::http
