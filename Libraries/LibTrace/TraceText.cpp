#include <LibTrace/TraceText.h>

#include <LibBase/Hash.h>
#include <LibTrace/EntryText.h>

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/monotonic_resource.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

namespace radishcross::trace {

namespace {

namespace json = boost::json;
using base::ResultCode;

constexpr size_t ParseBufferBytes = 16UL << 10;

std::string checksumOf(std::string_view lines) {
  std::array<char, 16> buf{};
  auto end = std::to_chars(buf.data(), buf.data() + buf.size(),
                           base::hash64(lines), 16)
                 .ptr;
  return {buf.data(), end};
}

std::nullopt_t malformed(base::LastReason &reason, size_t line,
                         const std::string &why) {
  return reason.fail(ResultCode::TraceMalformed,
                     "line " + std::to_string(line) + ": " + why);
}

/// Removes the next line from \p text and returns it without its line break.
std::string_view takeLine(std::string_view &text) {
  size_t end = text.find('\n');
  auto line = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  return line;
}

bool readLeftOut(const json::object &header, std::vector<Module> &out) {
  const auto *names = header.if_contains("left_out");
  if (!names)
    return true;
  if (!names->is_array())
    return false;
  for (const auto &it : names->as_array()) {
    auto module = it.is_string() ? base::fromName(ModuleNames, it.as_string())
                                 : std::nullopt;
    if (!module)
      return false;
    out.push_back(*module);
  }
  return true;
}

std::optional<Trace> readHeader(std::string_view line,
                                base::LastReason &reason) {
  boost::system::error_code ec;
  auto value = json::parse(line, ec);
  const auto *header = ec ? nullptr : value.if_object();
  const auto *format =
      header ? header->if_contains("radishcross_trace") : nullptr;
  if (!format || !format->is_int64())
    return malformed(reason, 1, "expected a trace's header");
  if (format->as_int64() > TraceFormat)
    return reason.fail(ResultCode::TraceTooNew,
                       "line 1: found format " +
                           std::to_string(format->as_int64()) +
                           ", expected at most " + std::to_string(TraceFormat));
  const auto *node = header->if_contains("node");
  const auto *seed = header->if_contains("seed");
  const auto *about = header->if_contains("about");
  Trace out;
  if (!node || !node->is_string() || !seed || (about && !about->is_string()))
    return malformed(reason, 1, "expected \"node\", \"seed\" and \"about\"");
  out.Node = node->as_string();
  out.Seed = seed->to_number<uint64_t>(ec);
  if (ec)
    return malformed(reason, 1, "\"seed\": expected a whole number");
  if (about)
    out.About = about->as_string();
  if (!readLeftOut(*header, out.LeftOut))
    return malformed(reason, 1, "\"left_out\": expected names of modules");
  return out;
}

/// The closing line of a trace and everything before it.
struct ClosingLine {
  std::string_view Body;
  uint64_t Entries = 0;
  std::string Checksum;
};

std::optional<ClosingLine> findClosing(std::string_view text,
                                       base::LastReason &reason) {
  auto whole = text;
  if (text.ends_with('\n'))
    text.remove_suffix(1);
  size_t start = text.rfind('\n') + 1;
  boost::system::error_code ec;
  auto value = json::parse(text.substr(start), ec);
  const auto *closing = ec ? nullptr : value.if_object();
  const auto *entries = closing ? closing->if_contains("entries") : nullptr;
  const auto *checksum = closing ? closing->if_contains("checksum") : nullptr;
  if (!entries || !checksum || !checksum->is_string())
    return reason.fail(ResultCode::TraceTruncated,
                       "the closing line is missing after " +
                           std::to_string(whole.size()) + " bytes");
  ClosingLine out;
  out.Body = text.substr(0, start);
  out.Entries = entries->to_number<uint64_t>(ec);
  out.Checksum = checksum->as_string();
  return out;
}

} // namespace

std::string writeTrace(const Trace &trace) {
  json::object header{{"radishcross_trace", TraceFormat},
                      {"node", trace.Node},
                      {"seed", trace.Seed}};
  if (!trace.About.empty())
    header["about"] = trace.About;
  json::array leftOut;
  for (Module it : trace.LeftOut)
    leftOut.emplace_back(base::nameOf(ModuleNames, it));
  if (!leftOut.empty())
    header["left_out"] = std::move(leftOut);
  std::string out = json::serialize(header) + "\n";
  for (const auto &it : trace.Entries)
    appendEntry(out, it);
  json::object closing{{"entries", trace.Entries.size()},
                       {"checksum", checksumOf(out)}};
  return out + json::serialize(closing) + "\n";
}

std::optional<Trace> readTrace(std::string_view text,
                               base::LastReason &reason) {
  auto rest = text;
  auto trace = readHeader(takeLine(rest), reason);
  if (!trace)
    return std::nullopt;
  auto closing = findClosing(text, reason);
  if (!closing)
    return std::nullopt;
  if (checksumOf(closing->Body) != closing->Checksum)
    return reason.fail(ResultCode::TraceAltered,
                       "the checksum of the closing line does not match");
  rest = closing->Body;
  takeLine(rest);
  std::array<unsigned char, ParseBufferBytes> buf{};
  for (size_t line = 2; !rest.empty(); ++line) {
    json::monotonic_resource memory(buf.data(), buf.size());
    boost::system::error_code ec;
    auto value = json::parse(takeLine(rest), ec, &memory);
    std::string why = "not JSON";
    auto entry = ec ? std::nullopt : readEntry(value, why);
    if (!entry)
      return malformed(reason, line, why);
    trace->Entries.push_back(std::move(*entry));
  }
  if (trace->Entries.size() != closing->Entries)
    return reason.fail(ResultCode::TraceAltered,
                       "found " + std::to_string(trace->Entries.size()) +
                           " entries, expected " +
                           std::to_string(closing->Entries));
  return trace;
}

} // namespace radishcross::trace
