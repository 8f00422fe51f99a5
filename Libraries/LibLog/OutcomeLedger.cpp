#include <LibLog/BodyReader.h>
#include <LibLog/FoldLimits.h>
#include <LibLog/OutcomeLedger.h>
#include <LibLog/RecordId.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <utility>

namespace radishcross::log {

namespace {

constexpr uint64_t OutcomeKind = 1;
constexpr size_t MaximumNameBytes = 256;

} // namespace

uint64_t hashOf(const RecordOutcome &outcome) {
  return ElementHash(OutcomeKind)
      .text(outcome.RecordId)
      .number(outcome.At)
      .number(static_cast<uint64_t>(outcome.Code))
      .text(outcome.Reason)
      .text(outcome.Configuration)
      .number(outcome.Version)
      .number(outcome.WinnerAt)
      .value();
}

boost::json::value saveOutcome(const RecordOutcome &outcome) {
  return boost::json::object{{"id", outcome.RecordId},
                             {"at", outcome.At},
                             {"code", static_cast<uint64_t>(outcome.Code)},
                             {"reason", outcome.Reason},
                             {"configuration", outcome.Configuration},
                             {"version", outcome.Version},
                             {"winner_at", outcome.WinnerAt}};
}

std::optional<RecordOutcome> loadOutcome(const boost::json::value &from,
                                         base::LastReason &reason) {
  BodyReader reader(from);
  RecordOutcome out;
  out.RecordId = reader.text("id", MaximumRecordIdBytes);
  out.At = reader.number("at");
  out.Code = static_cast<base::ResultCode>(reader.number("code", UINT16_MAX));
  out.Reason = reader.text("reason", MaximumReasonBytes);
  out.Configuration = reader.text("configuration", MaximumNameBytes);
  out.Version = reader.number("version");
  out.WinnerAt = reader.number("winner_at");
  if (!reader.finish(reason))
    return std::nullopt;
  return out;
}

void OutcomeLedger::add(RecordOutcome outcome) {
  ElementHashes.add(hashOf(outcome));
  IndexById.emplace(outcome.RecordId, DroppedCount + Outcomes.size());
  Outcomes.push_back(std::move(outcome));
  if (Outcomes.size() <= MaximumOutcomes)
    return;
  ElementHashes.remove(hashOf(Outcomes.front()));
  IndexById.erase(Outcomes.front().RecordId);
  Outcomes.pop_front();
  ++DroppedCount;
}

const RecordOutcome *OutcomeLedger::find(std::string_view recordId) const {
  auto it = IndexById.find(std::string(recordId));
  return it == IndexById.end() ? nullptr : &Outcomes[it->second - DroppedCount];
}

boost::json::value OutcomeLedger::save() const {
  boost::json::array out;
  for (const auto &it : Outcomes)
    out.push_back(saveOutcome(it));
  return out;
}

std::optional<OutcomeLedger> OutcomeLedger::load(const boost::json::value &from,
                                                 base::LastReason &reason) {
  const auto *list = from.if_array();
  if (!list || list->size() > MaximumOutcomes)
    return reason.fail(base::ResultCode::RecordMalformed,
                       "outcomes: expected an array within the size limit");
  OutcomeLedger out;
  for (const auto &it : *list) {
    auto outcome = loadOutcome(it, reason);
    if (!outcome)
      return std::nullopt;
    if (out.find(outcome->RecordId))
      return reason.fail(base::ResultCode::RecordMalformed,
                         "outcomes: duplicate record id");
    out.add(std::move(*outcome));
  }
  return out;
}

} // namespace radishcross::log
