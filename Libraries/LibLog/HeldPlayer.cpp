#include <LibLog/BodyReader.h>
#include <LibLog/HeldPlayer.h>
#include <LibLog/StateHash.h>
#include <LibSchema/StrictJson.h>

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace radishcross::log {

namespace {

constexpr uint64_t HeldKind = 30;
constexpr size_t MaximumNodeBytes = 256;

using Versions = std::map<std::string, uint64_t>;

uint64_t hashOfHeld(const HeldVersions &held) {
  ElementHash hash(HeldKind);
  for (const auto &it : held.snapshot()->versions())
    hash.text(it.Configuration).number(it.Version);
  return hash.value();
}

trace::Outcome decided(bool changed, const HeldVersions &held) {
  return {changed ? 1 : 0,
          static_cast<int64_t>(held.snapshot()->versions().size()),
          static_cast<int64_t>(held.waiting().size()),
          static_cast<int64_t>(hashOfHeld(held))};
}

trace::Entry makeEntry(int64_t atMicroseconds, HeldEvent event, bool changed,
                       const HeldVersions &held) {
  trace::Entry out;
  out.AtMicroseconds = atMicroseconds;
  out.Source = trace::Module::Snapshot;
  out.Event = static_cast<uint8_t>(event);
  out.Decided = decided(changed, held);
  return out;
}

boost::json::object encodeVersions(const Versions &versions) {
  boost::json::object out;
  for (const auto &[name, version] : versions)
    out[name] = version;
  return out;
}

Versions decodeVersions(const boost::json::value &from) {
  Versions out;
  const auto *object = from.if_object();
  if (!object)
    return out;
  BodyReader reader(from);
  for (const auto &it : *object)
    out[std::string(it.key())] = reader.number(it.key());
  return out;
}

std::optional<boost::json::value> parse(const std::string &text) {
  base::LastReason reason;
  return schema::parseStrictJson(text, {}, reason);
}

} // namespace

trace::Entry traceStart(int64_t atMicroseconds, const HeldVersions &held) {
  Versions floor = held.floor();
  for (const auto &it : held.snapshot()->versions())
    floor[it.Configuration] = std::max(floor[it.Configuration], it.Version);
  // A version that waits while none is held must not be taken before the
  // others.
  for (const auto &[name, version] : held.exceptions())
    floor.try_emplace(name, version);
  boost::json::object labels;
  for (const auto &[key, text] : held.labels())
    labels[key] = text;
  bool changed = !held.snapshot()->versions().empty();
  auto out = makeEntry(atMicroseconds, HeldEvent::Start, changed, held);
  out.Text = boost::json::serialize(
      boost::json::object{{"node", held.node()},
                          {"labels", std::move(labels)},
                          {"floor", encodeVersions(floor)}});
  return out;
}

trace::Entry traceRaiseFloor(int64_t atMicroseconds, const Versions &versions,
                             const HeldVersions &held) {
  auto out = makeEntry(atMicroseconds, HeldEvent::RaiseFloor, false, held);
  out.Text = boost::json::serialize(encodeVersions(versions));
  return out;
}

trace::Entry traceUpdate(int64_t atMicroseconds, bool changed,
                         const HeldVersions &held) {
  return makeEntry(atMicroseconds, HeldEvent::Update, changed, held);
}

bool HeldPlayer::start(const trace::Entry &entry) {
  auto document = parse(entry.Text);
  if (!document)
    return false;
  BodyReader reader(*document);
  auto node = reader.text("node", MaximumNodeBytes);
  config::Labels labels;
  if (const auto *given = reader.any("labels").if_object())
    for (const auto &it : *given)
      if (it.value().is_string())
        labels[std::string(it.key())] = it.value().get_string();
  Held = std::make_unique<HeldVersions>(std::move(node), std::move(labels));
  Held->raiseFloor(decodeVersions(reader.any("floor")));
  return Held->update(Source.state());
}

trace::Outcome HeldPlayer::play(const trace::Entry &entry) {
  bool changed = false;
  auto event = static_cast<HeldEvent>(entry.Event);
  if (event == HeldEvent::Start)
    changed = start(entry);
  if (!Held)
    return {};
  if (event == HeldEvent::Update)
    changed = Held->update(Source.state());
  if (event == HeldEvent::RaiseFloor)
    if (auto versions = parse(entry.Text))
      Held->raiseFloor(decodeVersions(*versions));
  return decided(changed, *Held);
}

} // namespace radishcross::log
