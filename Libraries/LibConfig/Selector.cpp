#include <LibBase/Hash.h>
#include <LibConfig/Selector.h>

#include <algorithm>
#include <tuple>

namespace radishcross::config {

namespace {

using Operator = Requirement::Operator;

constexpr size_t MaximumTextBytes = 4096;
constexpr size_t MaximumTokenBytes = 128;
constexpr uint32_t BasisPointsPerPercent = 100;
constexpr uint32_t FullShare = 100 * BasisPointsPerPercent;
constexpr uint64_t ShareHashSeed = 0x5E1EC70;

bool isTokenByte(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' ||
         c == '/' || c == ':';
}

/// Scans the text form from left to right.
class Reader {
public:
  explicit Reader(std::string_view text) : Text(text) {}

  void skipSpace() {
    while (Position < Text.size() &&
           (Text[Position] == ' ' || Text[Position] == '\t'))
      ++Position;
  }

  bool atEnd() {
    skipSpace();
    return Position == Text.size();
  }

  bool consume(std::string_view symbol) {
    skipSpace();
    if (!Text.substr(Position).starts_with(symbol))
      return false;
    Position += symbol.size();
    return true;
  }

  std::string_view readToken() {
    skipSpace();
    size_t start = Position;
    while (Position < Text.size() && isTokenByte(Text[Position]))
      ++Position;
    return Text.substr(start, Position - start);
  }

  /// Fails with the column of the next byte that is not a space or tab.
  std::nullopt_t failExpecting(std::string_view what,
                               base::LastReason &reason) {
    skipSpace();
    return reason.fail(base::ResultCode::BadSelector,
                       "column " + std::to_string(Position + 1) +
                           ": expected " + std::string(what));
  }

private:
  std::string_view Text;
  size_t Position = 0;
};

bool isToken(std::string_view text) {
  return !text.empty() && text.size() <= MaximumTokenBytes;
}

/// Parses a percentage such as "12" or "12.25" into basis points.
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
  return share <= FullShare ? std::optional(share) : std::nullopt;
}

std::string shareText(uint32_t share) {
  std::string out = std::to_string(share / BasisPointsPerPercent);
  uint32_t rest = share % BasisPointsPerPercent;
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
  if (!reader.consume("("))
    return reader.failExpecting("'('", reason);
  std::vector<std::string> values;
  do {
    auto value = reader.readToken();
    if (!isToken(value))
      return reader.failExpecting("a label's value", reason);
    values.emplace_back(value);
  } while (reader.consume(","));
  if (!reader.consume(")"))
    return reader.failExpecting("',' or ')'", reason);
  std::sort(values.begin(), values.end());
  values.erase(std::unique(values.begin(), values.end()), values.end());
  return values;
}

std::optional<Requirement> readValue(Reader &reader, Requirement requirement,
                                     base::LastReason &reason) {
  auto value = reader.readToken();
  if (!isToken(value))
    return reader.failExpecting("a label's value", reason);
  requirement.Values.emplace_back(value);
  return requirement;
}

/// Reads the condition that follows a key: an operator with its values, or
/// nothing for "exists".
std::optional<Requirement> readCondition(Reader &reader, std::string_view key,
                                         base::LastReason &reason) {
  Requirement out{std::string(key), Operator::Exists, {}};
  if (reader.consume("!=")) {
    out.Comparison = Operator::NotEqual;
    return readValue(reader, std::move(out), reason);
  }
  if (reader.consume("==") || reader.consume("=")) {
    out.Comparison = Operator::Equal;
    return readValue(reader, std::move(out), reason);
  }
  auto word = reader.readToken();
  if (word.empty())
    return out;
  if (word != "in" && word != "notin")
    return reader.failExpecting("'=', '!=', 'in', 'notin' or ',' before here",
                                reason);
  out.Comparison = word == "in" ? Operator::In : Operator::NotIn;
  auto values = readList(reader, reason);
  if (!values)
    return std::nullopt;
  out.Values = std::move(*values);
  return out;
}

bool isSatisfied(const Requirement &requirement, const Labels &labels) {
  auto it = labels.find(requirement.Key);
  bool present = it != labels.end();
  auto isListed = [&] {
    return present &&
           std::find(requirement.Values.begin(), requirement.Values.end(),
                     it->second) != requirement.Values.end();
  };
  switch (requirement.Comparison) {
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
  switch (requirement.Comparison) {
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
  return std::tie(a.Key, a.Comparison, a.Values) <
         std::tie(b.Key, b.Comparison, b.Values);
}

} // namespace

std::optional<Selector> Selector::create(std::string_view text,
                                         base::LastReason &reason) {
  Selector out;
  Reader reader(text);
  if (text.size() > MaximumTextBytes)
    return reader.failExpecting("at most 4096 bytes", reason);
  if (reader.atEnd())
    return out;
  bool hasShare = false;
  do {
    bool negated = reader.consume("!");
    auto key = reader.readToken();
    if (!isToken(key))
      return reader.failExpecting("a label's key or a percentage", reason);
    if (negated) {
      out.Requirements.push_back({std::string(key), Operator::Missing, {}});
      continue;
    }
    if (reader.consume("%")) {
      auto share = parseShare(key);
      if (!share || hasShare)
        return reader.failExpecting("one percentage from 0 to 100 before here",
                                    reason);
      out.ShareBasisPoints = *share;
      hasShare = true;
      continue;
    }
    auto requirement = readCondition(reader, key, reason);
    if (!requirement)
      return std::nullopt;
    out.Requirements.push_back(std::move(*requirement));
  } while (reader.consume(","));
  if (!reader.atEnd())
    return reader.failExpecting("',' or the end", reason);
  std::sort(out.Requirements.begin(), out.Requirements.end(), precedes);
  return out;
}

bool Selector::matches(std::string_view nodeId, const Labels &labels) const {
  for (const auto &requirement : Requirements)
    if (!isSatisfied(requirement, labels))
      return false;
  return ShareBasisPoints == FullShare ||
         base::hash64(nodeId, ShareHashSeed) % FullShare < ShareBasisPoints;
}

std::string Selector::text() const {
  std::string out;
  for (const auto &it : Requirements)
    out += (out.empty() ? "" : ", ") + textOf(it);
  if (ShareBasisPoints != FullShare)
    out += (out.empty() ? "" : ", ") + shareText(ShareBasisPoints);
  return out;
}

} // namespace radishcross::config
