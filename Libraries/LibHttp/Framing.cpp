#include <LibHttp/Framing.h>

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <string>
#include <vector>

namespace radishcross::http {

namespace {

namespace bh = boost::beast::http;

constexpr bh::field HopFields[] = {bh::field::connection,
                                   bh::field::keep_alive,
                                   bh::field::proxy_connection,
                                   bh::field::te,
                                   bh::field::trailer,
                                   bh::field::transfer_encoding,
                                   bh::field::upgrade,
                                   bh::field::proxy_authenticate,
                                   bh::field::proxy_authorization,
                                   bh::field::expect};

std::string_view text(boost::beast::string_view s) {
  return {s.data(), s.size()};
}

bool isNumber(std::string_view s) {
  constexpr size_t MaximumDigits = 18;
  return !s.empty() && s.size() <= MaximumDigits &&
         std::all_of(s.begin(), s.end(),
                     [](char c) { return c >= '0' && c <= '9'; });
}

/// Checks the fields that give the body's length; returns what is wrong, or an
/// empty text.
template <typename Message>
std::string_view lengthFault(const Message &message) {
  size_t lengths = message.count(bh::field::content_length);
  size_t codings = message.count(bh::field::transfer_encoding);
  if (lengths > 1)
    return "Content-Length appears more than once";
  if (codings > 1)
    return "Transfer-Encoding appears more than once";
  if (lengths != 0 && codings != 0)
    return "both Content-Length and Transfer-Encoding are given";
  if (lengths != 0 && !isNumber(text(message[bh::field::content_length])))
    return "Content-Length is not a number";
  if (codings != 0 &&
      !boost::beast::iequals(message[bh::field::transfer_encoding], "chunked"))
    return "Transfer-Encoding is not chunked";
  if (codings != 0 && message.version() < 11)
    return "Transfer-Encoding is not part of HTTP/1.0";
  return {};
}

std::string_view requestFault(const Request &request) {
  if (request.version() != 11 && request.version() != 10)
    return "the version is not HTTP/1.1 or HTTP/1.0";
  if (std::string_view fault = lengthFault(request); !fault.empty())
    return fault;
  size_t hosts = request.count(bh::field::host);
  if (hosts > 1 || (hosts == 0 && request.version() == 11))
    return "there must be one Host field";
  if (request.method() == bh::verb::connect)
    return "CONNECT is not supported";
  if (request.count(bh::field::upgrade) != 0)
    return "Upgrade is not supported";
  std::string_view target = text(request.target());
  if (target.empty() || target.front() != '/')
    return "the target is not a path";
  if (isAmbiguousPath(target))
    return "the path has dot segments, a backslash or a fragment";
  if (request.count(bh::field::expect) != 0 &&
      !boost::beast::iequals(request[bh::field::expect], "100-continue"))
    return "Expect is not 100-continue";
  return {};
}

/// Returns the length of the segment's leading dot, plain or encoded, or 0.
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
      fault = "the head has a NUL";
    if (c == '\r' && (i + 1 == head.size() || head[i + 1] != '\n'))
      fault = "the head has a bare CR";
    if (c != '\n')
      continue;
    if (i == 0 || head[i - 1] != '\r')
      fault = "the head has a bare LF";
    if (i + 1 < head.size() && (head[i + 1] == ' ' || head[i + 1] == '\t'))
      fault = "the head has a folded line";
  }
  if (fault.empty())
    return true;
  reason.fail(base::ResultCode::BadRequest, std::string(fault));
  return false;
}

bool checkRequestHead(const Request &request, base::LastReason &reason) {
  std::string_view fault = requestFault(request);
  if (fault.empty())
    return true;
  reason.fail(base::ResultCode::BadRequest, std::string(fault));
  return false;
}

bool checkResponseHead(const Response &response, base::LastReason &reason) {
  std::string_view fault = lengthFault(response);
  if (fault.empty())
    return true;
  reason.fail(base::ResultCode::CallOutcomeUnknown,
              "the answer cannot be read: " + std::string(fault));
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

void dropHopFields(bh::fields &fields) {
  std::vector<std::string> named;
  for (const auto &token : bh::token_list(fields[bh::field::connection]))
    named.emplace_back(token.data(), token.size());
  for (const std::string &name : named)
    if (!boost::beast::iequals(name, "close") &&
        !boost::beast::iequals(name, "keep-alive"))
      fields.erase(name);
  for (bh::field it : HopFields)
    fields.erase(it);
}

} // namespace radishcross::http
