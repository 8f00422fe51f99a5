#include <LibNode/QuarantineNotices.h>

#include <array>
#include <charconv>
#include <optional>
#include <utility>

namespace radishcross::node {

namespace {

constexpr std::string_view TopicPrefix = "quarantine/";
constexpr uint32_t QuarantineThreshold = 2;

struct Topic {
  uint64_t Fingerprint = 0;
  uint32_t Crashes = 0;
};

std::string topicOf(const calls::QuarantineEntry &entry) {
  std::array<char, 16> buf{};
  auto end =
      std::to_chars(buf.data(), buf.data() + buf.size(), entry.Fingerprint, 16)
          .ptr;
  return std::string(TopicPrefix) + std::string(buf.data(), end) + "/" +
         std::to_string(entry.Crashes);
}

template <typename Number>
bool parseNumber(std::string_view text, Number &out, int base) {
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), out, base);
  return error == std::errc() && end == text.data() + text.size() &&
         !text.empty();
}

std::optional<Topic> parseTopic(std::string_view topic) {
  if (!topic.starts_with(TopicPrefix))
    return std::nullopt;
  topic.remove_prefix(TopicPrefix.size());
  size_t slash = topic.find('/');
  if (slash == std::string_view::npos)
    return std::nullopt;
  Topic out;
  if (!parseNumber(topic.substr(0, slash), out.Fingerprint, 16) ||
      !parseNumber(topic.substr(slash + 1), out.Crashes, 10))
    return std::nullopt;
  return out;
}

} // namespace

QuarantineNotices::QuarantineNotices(calls::Quarantine &quarantine)
    : Table(&quarantine) {}

void QuarantineNotices::publish(const Publish &publish, base::TimePoint now) {
  for (const auto &entry : Table->takeReports())
    if (entry.Until > now)
      publish(topicOf(entry), entry.ServiceName, entry.Until - now);
}

void QuarantineNotices::receive(std::string_view topic, std::string_view text,
                                base::TimePoint now) {
  auto parsed = parseTopic(topic);
  if (!parsed)
    return;
  if (parsed->Crashes >= QuarantineThreshold)
    Table->applyRemote(parsed->Fingerprint, text,
                       calls::Quarantine::QuarantineLifetime, now);
  else
    Table->applyRemoteSuspect(parsed->Fingerprint, text, now);
}

} // namespace radishcross::node
