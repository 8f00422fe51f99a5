#include <LibConfig/Names.h>
#include <LibLog/BodyReader.h>
#include <LibLog/RecordBodies.h>
#include <LibLog/RecordId.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <tuple>
#include <utility>

namespace radishcross::log {

namespace {

using base::ResultCode;
using boost::json::object;
using boost::json::value;

constexpr size_t MaximumSelectorBytes = 4096;
constexpr size_t MaximumImpactBytes = 1024;
constexpr size_t MaximumNodeIdBytes = 128;
constexpr size_t MaximumBindings = 64;
constexpr uint32_t MaximumParts = 65535;
constexpr std::string_view VmPrefix = "vm:";
constexpr std::string_view ServicePrefix = "service:";

bool isDrainable(std::string_view what) {
  if (what.starts_with(VmPrefix))
    return what.size() > VmPrefix.size();
  if (!what.starts_with(ServicePrefix))
    return false;
  auto reference = what.substr(ServicePrefix.size());
  return reference.find('/') != std::string_view::npos &&
         config::isServiceReference(reference);
}

std::optional<SelectorBinding> decodeBinding(const value &from,
                                             base::LastReason &reason) {
  BodyReader reader(from);
  auto name = reader.name("name");
  auto text = reader.textOr("selector", MaximumSelectorBytes, "");
  if (!reader.finish(reason))
    return reason.fail(ResultCode::RecordMalformed, "attach." + reason.text());
  auto selector = config::Selector::create(text, reason);
  if (!selector)
    return std::nullopt;
  return SelectorBinding{std::move(name), std::move(*selector)};
}

bool decodeBindings(const value &from, std::vector<SelectorBinding> &out,
                    base::LastReason &reason) {
  boost::json::array one;
  const auto *list = from.if_array();
  if (!list) {
    one.push_back(from);
    list = &one;
  }
  if (list->size() > MaximumBindings) {
    reason.fail(ResultCode::RecordMalformed,
                "attach: expected at most 64 attachments");
    return false;
  }
  for (const auto &it : *list) {
    auto binding = decodeBinding(it, reason);
    if (!binding)
      return false;
    out.push_back(std::move(*binding));
  }
  return true;
}

/// Reads "part" and "parts" and checks that "part" is below "parts".
std::pair<uint32_t, uint32_t> readPart(BodyReader &reader) {
  auto parts = static_cast<uint32_t>(reader.number("parts", MaximumParts));
  auto part = static_cast<uint32_t>(reader.number("part", MaximumParts));
  if (part >= parts)
    reader.fail("part", "a number below \"parts\"");
  return {part, parts};
}

Record build(std::string id, RecordKind kind, Author by, object body) {
  return {std::move(id), kind, std::move(by), std::move(body)};
}

} // namespace

std::optional<PublishBody> decodePublish(const value &body,
                                         base::LastReason &reason) {
  BodyReader reader(body);
  PublishBody out;
  out.Configuration = reader.name("configuration");
  out.Base = reader.number("base");
  const auto &content = reader.any("content");
  out.AcceptedImpact = reader.textOr("accepted_impact", MaximumImpactBytes, "");
  const auto *attach = reader.optional("attach");
  if (!reader.finish(reason))
    return std::nullopt;
  if (attach && !decodeBindings(*attach, out.Attach, reason))
    return std::nullopt;
  out.Content = content;
  return out;
}

std::optional<AttachBody> decodeAttach(const value &body,
                                       base::LastReason &reason) {
  BodyReader reader(body);
  AttachBody out;
  out.Name = reader.name("name");
  out.Configuration = reader.name("configuration");
  out.Version = reader.number("version");
  auto text = reader.text("selector", MaximumSelectorBytes);
  if (!reader.finish(reason))
    return std::nullopt;
  auto selector = config::Selector::create(text, reason);
  if (!selector)
    return std::nullopt;
  out.NodeSelector = std::move(*selector);
  return out;
}

std::optional<DetachBody> decodeDetach(const value &body,
                                       base::LastReason &reason) {
  BodyReader reader(body);
  DetachBody out{reader.name("name")};
  if (!reader.finish(reason))
    return std::nullopt;
  return out;
}

std::optional<DrainBody> decodeDrain(const value &body,
                                     base::LastReason &reason) {
  BodyReader reader(body);
  DrainBody out;
  out.What = reader.text("what", VmPrefix.size() + MaximumNodeIdBytes);
  out.On = reader.flag("on");
  if (!isDrainable(out.What))
    reader.fail("what", "vm:ID or service:configuration/name");
  if (!reader.finish(reason))
    return std::nullopt;
  return out;
}

std::optional<SnapshotBody> decodeSnapshot(const value &body,
                                           base::LastReason &reason) {
  BodyReader reader(body);
  SnapshotBody out;
  out.At = reader.number("offset");
  out.Hash = reader.number("hash");
  std::tie(out.Part, out.Parts) = readPart(reader);
  out.Document = reader.text("document", MaximumRecordBytes);
  if (!reader.finish(reason))
    return std::nullopt;
  return out;
}

std::optional<ChunkBody> decodeChunk(const value &body,
                                     base::LastReason &reason) {
  BodyReader reader(body);
  ChunkBody out;
  out.Of = reader.text("of", MaximumRecordIdBytes);
  std::tie(out.Part, out.Parts) = readPart(reader);
  out.Bytes = reader.text("bytes", MaximumRecordBytes);
  if (!isRecordId(out.Of))
    reader.fail("of", "a record's id");
  if (!reader.finish(reason))
    return std::nullopt;
  return out;
}

Record makePublish(std::string id, Author by, const PublishBody &body) {
  object out{{"configuration", body.Configuration},
             {"base", body.Base},
             {"content", body.Content}};
  boost::json::array attach;
  for (const auto &it : body.Attach)
    attach.push_back(
        object{{"name", it.Name}, {"selector", it.NodeSelector.text()}});
  if (!attach.empty())
    out["attach"] = std::move(attach);
  if (!body.AcceptedImpact.empty())
    out["accepted_impact"] = body.AcceptedImpact;
  return build(std::move(id), RecordKind::Publish, std::move(by),
               std::move(out));
}

Record makeAttach(std::string id, Author by, const AttachBody &body) {
  return build(std::move(id), RecordKind::Attach, std::move(by),
               {{"name", body.Name},
                {"configuration", body.Configuration},
                {"version", body.Version},
                {"selector", body.NodeSelector.text()}});
}

Record makeDetach(std::string id, Author by, const DetachBody &body) {
  return build(std::move(id), RecordKind::Detach, std::move(by),
               {{"name", body.Name}});
}

Record makeDrain(std::string id, Author by, const DrainBody &body) {
  return build(std::move(id), RecordKind::Drain, std::move(by),
               {{"what", body.What}, {"on", body.On}});
}

Record makeSnapshot(std::string id, Author by, const SnapshotBody &body) {
  return build(std::move(id), RecordKind::Snapshot, std::move(by),
               {{"offset", body.At},
                {"hash", body.Hash},
                {"part", body.Part},
                {"parts", body.Parts},
                {"document", body.Document}});
}

Record makeChunk(std::string id, Author by, const ChunkBody &body) {
  return build(std::move(id), RecordKind::Chunk, std::move(by),
               {{"of", body.Of},
                {"part", body.Part},
                {"parts", body.Parts},
                {"bytes", body.Bytes}});
}

} // namespace radishcross::log
