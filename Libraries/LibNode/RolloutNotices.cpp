#include <LibNode/RolloutNotices.h>

#include <LibBase/EnumNames.h>
#include <LibBase/Hash.h>

#include <algorithm>
#include <sstream>

namespace radishcross::node {

namespace {

using Kind = RolloutNotice::Kind;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr base::EnumName<Kind> TopicPrefixes[] = {
    {Kind::Order, "rollout-order/"},
    {Kind::State, "rollout-state/"},
    {Kind::Halt, "rollout-halt/"},
    {Kind::Counts, "rollout-counts/"},
};

/// A day: no period or age is longer.
constexpr int64_t MaximumMilliseconds = 24L * 3600 * 1000;

int64_t millisecondsOf(base::Duration time) {
  return duration_cast<milliseconds>(time).count();
}

bool readTime(std::istream &in, base::Duration &out) {
  int64_t ms = 0;
  if (!(in >> ms) || ms < 0 || ms > MaximumMilliseconds)
    return false;
  out = milliseconds(ms);
  return true;
}

void writeCounts(std::ostream &out, const rollout::NodeCounts &counts) {
  out << ' ' << counts.Boot << ' ' << counts.Sequence << ' '
      << (counts.IsHalted ? 1 : 0);
  auto routes = counts.Routes;
  std::stable_sort(routes.begin(), routes.end(),
                   [](const auto &a, const auto &b) {
                     return a.New.Answers > b.New.Answers;
                   });
  rollout::RouteTally rest;
  for (size_t n = 0; n < routes.size(); ++n) {
    const auto &it = routes[n];
    if (n >= MaximumReportedRoutes) {
      rest.New.add(it.New);
      rest.Old.add(it.Old);
      continue;
    }
    out << ' ' << base::hash64(it.Route) << ' ' << it.New.Answers << ' '
        << it.New.Bad << ' ' << it.Old.Answers << ' ' << it.Old.Bad;
  }
  if (rest.New.Answers + rest.Old.Answers > 0)
    out << " 0 " << rest.New.Answers << ' ' << rest.New.Bad << ' '
        << rest.Old.Answers << ' ' << rest.Old.Bad;
}

bool readCounts(std::istream &in, rollout::NodeCounts &out) {
  int halted = 0;
  if (!(in >> out.Boot >> out.Sequence >> halted))
    return false;
  out.IsHalted = halted != 0;
  rollout::RouteTally it;
  while (out.Routes.size() <= MaximumReportedRoutes &&
         in >> it.Route >> it.New.Answers >> it.New.Bad >> it.Old.Answers >>
             it.Old.Bad)
    out.Routes.push_back(it);
  return true;
}

bool readState(std::istream &in, RolloutNotice &out) {
  auto &value = out.Progress.Value;
  uint32_t state = 0;
  if (!(in >> out.Progress.Offset >> state >> value.Step) ||
      state >= std::size(rollout::PhaseNames) || !readTime(in, value.Age) ||
      !readTime(in, out.Age))
    return false;
  value.State = static_cast<rollout::Phase>(state);
  return true;
}

} // namespace

std::string rolloutTopic(const RolloutNotice &notice) {
  return std::string(base::nameOf(TopicPrefixes, notice.What)) +
         notice.Ordered.Service;
}

std::string rolloutText(const RolloutNotice &notice) {
  std::ostringstream out;
  const auto &order = notice.Ordered;
  out << order.At;
  if (notice.What == Kind::Counts)
    writeCounts(out, notice.Counts);
  if (notice.What == Kind::State) {
    const auto &value = notice.Progress.Value;
    out << ' ' << notice.Progress.Offset << ' '
        << static_cast<uint32_t>(value.State) << ' ' << value.Step << ' '
        << millisecondsOf(value.Age) << ' ' << millisecondsOf(notice.Age);
  }
  if (notice.What == Kind::State || notice.What == Kind::Order)
    out << ' ' << millisecondsOf(order.Period) << ' ' << order.Version;
  return out.str();
}

std::optional<RolloutNotice> parseRolloutNotice(std::string_view topic,
                                                std::string_view text) {
  RolloutNotice out;
  const auto *row =
      std::find_if(std::begin(TopicPrefixes), std::end(TopicPrefixes),
                   [&](const auto &it) { return topic.starts_with(it.Name); });
  if (row == std::end(TopicPrefixes))
    return std::nullopt;
  out.What = row->Value;
  auto &order = out.Ordered;
  order.Service = topic.substr(row->Name.size());
  std::istringstream in{std::string(text)};
  if (order.Service.empty() || !(in >> order.At))
    return std::nullopt;
  if (out.What == Kind::Halt)
    return out;
  if (out.What == Kind::Counts) {
    out.Counts.OrderAt = order.At;
    return readCounts(in, out.Counts) ? std::optional(std::move(out))
                                      : std::nullopt;
  }
  if (out.What == Kind::State && !readState(in, out))
    return std::nullopt;
  // The version is the rest of the text: it may contain spaces.
  if (!readTime(in, order.Period) || order.Period <= base::Duration::zero() ||
      in.get() != ' ' || !std::getline(in, order.Version))
    return std::nullopt;
  out.Progress.Value.OrderAt = order.At;
  out.Progress.Value.Version = order.Version;
  return out;
}

} // namespace radishcross::node
