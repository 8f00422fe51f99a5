#include <LibExplain/HopText.h>

#include <LibBase/ResultCode.h>

#include <string_view>

namespace radishcross::explain {

namespace {

struct Phrase {
  std::string_view Reason;
  std::string_view Text;
};

/// Keyed by the names in calls::StopReasonNames.
constexpr Phrase StopPhrases[] = {
    {"shed", "it was shed before any attempt, as targets refuse such calls"},
    {"no-target", "the service has no usable target"},
    {"final", "the refusal holds at every target"},
    {"attempts-used", "its attempts are used up"},
    {"not-repeatable", "it may have run and may not run twice"},
    {"failed-below", "a call below it failed and was dealt with there"},
    {"below-retry", "the call above is a retry itself"},
    {"no-budget", "the service's retry budget is spent"},
    {"no-time", "the deadline leaves no time for another attempt"},
    {"no-other-target", "there is no other target"},
    {"client-gone", "the client went away"},
};

std::string orNone(const std::string &text) {
  return text.empty() ? "none" : text;
}

/// Returns \p text, the field and \p unit; empty when the field is empty or 0.
std::string optionalField(const LogLine &line, std::string_view name,
                          std::string_view text, std::string_view unit = "") {
  const auto &value = line.field(name);
  if (value.empty() || value == "0")
    return "";
  return std::string(text) + value + std::string(unit);
}

std::string reportedByText(const LogLine &line) {
  return ", told by " + orNone(line.field("told_by"));
}

} // namespace

std::string codeText(int64_t number) {
  for (const auto &row : base::resultCodes())
    if (static_cast<int64_t>(row.Code) == number)
      return std::to_string(number) + " " + std::string(row.Name);
  return std::to_string(number);
}

std::string stopText(const LogLine &end) {
  const auto &word = end.field("stop");
  for (const auto &it : StopPhrases)
    if (it.Reason == word)
      return std::string(it.Text);
  return "";
}

std::string receivedText(const LogLine &end) {
  std::string out = end.field("from") == "node" ? "owns the request's key"
                                                : "took it from the client";
  out += ": route " + orNone(end.field("route"));
  out += optionalField(end, "version", " of version ");
  out += ", in force " + orNone(end.field("held"));
  out += ", service " + orNone(end.field("service"));
  if (!end.field("service").empty())
    out += ", rank " + orNone(end.field("rank"));
  return out + optionalField(end, "deadline_ms", ", deadline ", " ms");
}

std::string attemptText(const LogLine &attempt) {
  std::string out = "attempt " + attempt.field("attempt");
  if (attempt.field("as") == "owner")
    return out + " to " + attempt.field("to") + ", which owns the key" +
           optionalField(attempt, "left_ms", "; ", " ms left");
  out += " to target " + orNone(attempt.field("target")) + " at " +
         orNone(attempt.field("to"));
  out += ": chosen of " + orNone(attempt.field("candidates"));
  out += optionalField(attempt, "left_out", ", ", " left out after failures");
  out += ", what was known of it is " + orNone(attempt.field("known_ms")) +
         " ms old: load " + orNone(attempt.field("load_permille")) +
         " permille, " + orNone(attempt.field("own_calls")) +
         " own calls there";
  if (attempt.field("suspect") == "yes")
    out += ", its node suspect";
  return out + "; " + orNone(attempt.field("left_ms")) + " ms left, timeout " +
         orNone(attempt.field("timeout_ms")) + " ms";
}

std::string gateText(const LogLine &gate) {
  std::string out = "gate of " + orNone(gate.field("target")) + ": " +
                    orNone(gate.field("decided"));
  out += "; found " + orNone(gate.field("running")) + " running of at most " +
         orNone(gate.field("limit")) + ", " + orNone(gate.field("waiting")) +
         " waiting of at most " + orNone(gate.field("queue_length"));
  out += "; " + orNone(gate.field("left_ms")) + " ms left";
  out += optionalField(gate, "waited_ms", ", waited ", " ms");
  out += optionalField(gate, "ran_ms", ", ran ", " ms");
  out += "; " + orNone(gate.field("end"));
  out += optionalField(gate, "status", " with status ");
  if (gate.number("code") != 0)
    out += " as " + codeText(gate.number("code"));
  return out + reportedByText(gate);
}

std::string attemptEndText(const LogLine &attempt) {
  std::string out = "attempt " + attempt.field("attempt") +
                    " ended: " + orNone(attempt.field("end"));
  out += optionalField(attempt, "status", " with status ");
  if (attempt.number("code") != 0)
    out += " as " + codeText(attempt.number("code"));
  return out + " after " + orNone(attempt.field("took_ms")) + " ms" +
         reportedByText(attempt);
}

std::string endText(const LogLine &end) {
  std::string out = "ended: " + orNone(end.field("outcome"));
  out += optionalField(end, "status", " with status ");
  if (end.number("code") != 0)
    out += " as " + codeText(end.number("code"));
  out += " after " + orNone(end.field("took_ms")) + " ms and " +
         orNone(end.field("attempts")) + " attempts";
  auto stop = stopText(end);
  if (!stop.empty())
    out += "; " + stop;
  if (!stop.empty() && end.number("attempts") > 0)
    out += ", " + orNone(end.field("retries_left")) +
           " retries left in the budget";
  out += optionalField(end, "retry_after_ms", "; the client may come back in ",
                       " ms");
  return out + reportedByText(end);
}

} // namespace radishcross::explain
