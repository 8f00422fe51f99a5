#include <LibBase/Hash.h>
#include <LibConfig/Selector.h>

#include <algorithm>
#include <tuple>

namespace radishcross::config {

namespace {

using Operator = Requirement::Operator;

constexpr size_t MaximumTextBytes = 4096;
constexpr size_t MaximumTokenBytes = 128;
constexpr uint32_t MyriadsPerPercent = 100;
constexpr uint32_t WholeShare = 100 * MyriadsPerPercent;
constexpr uint64_t ShareSeed = 0x5E1EC70;

bool isTokenByte(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' ||
         c == '/' || c == ':';
}

/// Reads the text form from left to right.
class Reader {
public:
  explicit Reader(std::string_view text) : Text(text) {}

  void skipSpace() {
    while (At < Text.size() && (Text[At] == ' ' || Text[At] == '\t'))
      ++At;
  }

  bool atEnd() {
    skipSpace();
    return At == Text.size();
  }

  bool take(std::string_view symbol) {
    skipSpace();
    if (!Text.substr(At).starts_with(symbol))
      return false;
    At += symbol.size();
    return true;
  }

  std::string_view token() {
    skipSpace();
    size_t start = At;
    while (At < Text.size() && isTokenByte(Text[At]))
      ++At;
    return Text.substr(start, At - start);
  }

  /// Fails with the column of the next byte.
  std::nullopt_t expected(std::string_view what, base::LastReason &reason) {
    skipSpace();
    return reason.fail(base::ResultCode::BadSelector,
                       "column " + std::to_string(At + 1) + ": expected " +
                           std::string(what));
  }

private:
  std::string_view Text;
  size_t At = 0;
};

bool isToken(std::string_view text) {
  return !text.empty() && text.size() <= MaximumTokenBytes;
}

/// Reads "12" or "12.25" as hundredths of a percent.
std::optional<uint32_t> parseShare(std::string_view text) {
  size_t dot = text.find('.');
  auto whole = text.substr(0, dot);
  auto part = dot == std::string_view::npos ? "" : text.substr(dot + 1);
  if (whole.empty() || whole.size() > 3 || part.size() > 2 ||
      (dot != std::string_view::npos && part.empty()))
    return std::nullopt;
  uint32_t share = 0;
  std::string digits = std::string(whole) + std::string(part);
  digits.append(2 - part.size(), '0');
  for (char c : digits) {
    if (c < '0' || c > '9')
      return std::nullopt;
    share = share * 10 + (c - '0');
  }
  return share <= WholeShare ? std::optional(share) : std::nullopt;
}

std::string shareText(uint32_t share) {
  std::string out = std::to_string(share / MyriadsPerPercent);
  uint32_t rest = share % MyriadsPerPercent;
  if (rest != 0) {
    out += '.';
    out += static_cast<char>('0' + rest / 10);
    if (rest % 10 != 0)
      out += static_cast<char>('0' + rest % 10);
  }
  return out + "%";
}

std::optional<std::vector<std::string>> readList(Reader &reader,
                                                 base::LastReason &reason) {
  if (!reader.take("("))
    return reader.expected("'('", reason);
  std::vector<std::string> values;
  do {
    auto value = reader.token();
    if (!isToken(value))
      return reader.expected("a label's value", reason);
    values.emplace_back(value);
  } while (reader.take(","));
  if (!reader.take(")"))
    return reader.expected("',' or ')'", reason);
  std::sort(values.begin(), values.end());
  values.erase(std::unique(values.begin(), values.end()), values.end());
  return values;
}

std::optional<Requirement> readValue(Reader &reader, Requirement requirement,
                                     base::LastReason &reason) {
  auto value = reader.token();
  if (!isToken(value))
    return reader.expected("a label's value", reason);
  requirement.Values.emplace_back(value);
  return requirement;
}

/// Reads what follows a key: an operator, or nothing for "exists".
std::optional<Requirement> readTest(Reader &reader, std::string_view key,
                                    base::LastReason &reason) {
  Requirement out{std::string(key), Operator::Exists, {}};
  if (reader.take("!=")) {
    out.Test = Operator::NotEqual;
    return readValue(reader, std::move(out), reason);
  }
  if (reader.take("==") || reader.take("=")) {
    out.Test = Operator::Equal;
    return readValue(reader, std::move(out), reason);
  }
  auto word = reader.token();
  if (word.empty())
    return out;
  if (word != "in" && word != "notin")
    return reader.expected("'=', '!=', 'in', 'notin' or ',' before here",
                           reason);
  out.Test = word == "in" ? Operator::In : Operator::NotIn;
  auto values = readList(reader, reason);
  if (!values)
    return std::nullopt;
  out.Values = std::move(*values);
  return out;
}

bool holds(const Requirement &requirement, const Labels &labels) {
  auto it = labels.find(requirement.Key);
  bool present = it != labels.end();
  auto isListed = [&] {
    return present &&
           std::find(requirement.Values.begin(), requirement.Values.end(),
                     it->second) != requirement.Values.end();
  };
  switch (requirement.Test) {
  case Operator::Exists:
    return present;
  case Operator::Missing:
    return !present;
  case Operator::Equal:
  case Operator::In:
    return isListed();
  case Operator::NotEqual:
  case Operator::NotIn:
    return !isListed();
  }
  return false;
}

std::string listText(const std::vector<std::string> &values) {
  std::string out;
  for (const auto &it : values)
    out += (out.empty() ? "" : ", ") + it;
  return "(" + out + ")";
}

std::string textOf(const Requirement &requirement) {
  const auto &key = requirement.Key;
  switch (requirement.Test) {
  case Operator::Exists:
    return key;
  case Operator::Missing:
    return "!" + key;
  case Operator::Equal:
    return key + "=" + requirement.Values.front();
  case Operator::NotEqual:
    return key + "!=" + requirement.Values.front();
  case Operator::In:
    return key + " in " + listText(requirement.Values);
  case Operator::NotIn:
    return key + " notin " + listText(requirement.Values);
  }
  return {};
}

bool precedes(const Requirement &a, const Requirement &b) {
  return std::tie(a.Key, a.Test, a.Values) < std::tie(b.Key, b.Test, b.Values);
}

} // namespace

std::optional<Selector> Selector::create(std::string_view text,
                                         base::LastReason &reason) {
  Selector out;
  Reader reader(text);
  if (text.size() > MaximumTextBytes)
    return reader.expected("at most 4096 bytes", reason);
  if (reader.atEnd())
    return out;
  bool hasShare = false;
  do {
    bool negated = reader.take("!");
    auto key = reader.token();
    if (!isToken(key))
      return reader.expected("a label's key or a percentage", reason);
    if (negated) {
      out.Requirements.push_back({std::string(key), Operator::Missing, {}});
      continue;
    }
    if (reader.take("%")) {
      auto share = parseShare(key);
      if (!share || hasShare)
        return reader.expected("one percentage from 0 to 100 before here",
                               reason);
      out.SharePerMyriad = *share;
      hasShare = true;
      continue;
    }
    auto requirement = readTest(reader, key, reason);
    if (!requirement)
      return std::nullopt;
    out.Requirements.push_back(std::move(*requirement));
  } while (reader.take(","));
  if (!reader.atEnd())
    return reader.expected("',' or the end", reason);
  std::sort(out.Requirements.begin(), out.Requirements.end(), precedes);
  return out;
}

bool Selector::matches(std::string_view nodeId, const Labels &labels) const {
  for (const auto &requirement : Requirements)
    if (!holds(requirement, labels))
      return false;
  return SharePerMyriad == WholeShare ||
         base::hash64(nodeId, ShareSeed) % WholeShare < SharePerMyriad;
}

std::string Selector::text() const {
  std::string out;
  for (const auto &it : Requirements)
    out += (out.empty() ? "" : ", ") + textOf(it);
  if (SharePerMyriad != WholeShare)
    out += (out.empty() ? "" : ", ") + shareText(SharePerMyriad);
  return out;
}

} // namespace radishcross::config
