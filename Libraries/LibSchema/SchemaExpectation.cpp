#include <LibSchema/SchemaExpectation.h>

#include <boost/json/serialize.hpp>
#include <charconv>
#include <optional>

namespace radishcross::schema {

namespace {

using boost::json::value;

constexpr size_t MaximumShownBytes = 60;
constexpr int MaximumReferenceDepth = 8;

struct TypeRow {
  std::string_view Type;
  std::string_view Description;
};

constexpr TypeRow TypeRows[] = {
    {"object", "an object"}, {"array", "an array"},
    {"string", "a string"},  {"integer", "an integer"},
    {"number", "a number"},  {"boolean", "true or false"},
    {"null", "null"},
};

std::string typeDescription(std::string_view type) {
  for (const auto &row : TypeRows)
    if (row.Type == type)
      return std::string(row.Description);
  return std::string(type);
}

const value *member(const value &of, std::string_view key) {
  const auto *object = of.if_object();
  return object ? object->if_contains(key) : nullptr;
}

const value *followReferences(const value &root, const value *node) {
  for (int i = 0; node && i < MaximumReferenceDepth; ++i) {
    const auto *reference = member(*node, "$ref");
    if (!reference || !reference->is_string())
      return node;
    std::string_view pointer = reference->get_string();
    if (pointer.empty() || pointer[0] != '#')
      return node;
    boost::json::error_code ec;
    const auto &known = root;
    node = known.find_pointer(pointer.substr(1), ec);
  }
  return node;
}

const value *childSubschema(const value &node, const std::string &step) {
  if (const auto *properties = member(node, "properties"))
    if (const auto *known = member(*properties, step))
      return known;
  if (const auto *items = member(node, "items"))
    return items;
  return member(node, "additionalProperties");
}

std::optional<size_t> indexOf(const std::string &step) {
  size_t index = 0;
  const char *end = step.data() + step.size();
  auto [at, ec] = std::from_chars(step.data(), end, index);
  if (ec != std::errc() || at != end)
    return std::nullopt;
  return index;
}

const value *childValue(const value &of, const std::string &step) {
  const auto *array = of.if_array();
  if (!array)
    return member(of, step);
  auto index = indexOf(step);
  return index && *index < array->size() ? &(*array)[*index] : nullptr;
}

std::string listText(const boost::json::array &values) {
  std::string out;
  for (const auto &it : values) {
    if (!out.empty())
      out += ", ";
    out += boost::json::serialize(it);
  }
  return out;
}

/// Returns " from A to B" for the limits that \p node defines.
std::string rangeText(const value &node, std::string_view minimumKey,
                      std::string_view maximumKey, std::string_view unit) {
  const auto *from = member(node, minimumKey);
  const auto *to = member(node, maximumKey);
  std::string out;
  if (from && to)
    out = " from " + boost::json::serialize(*from) + " to " +
          boost::json::serialize(*to);
  else if (from)
    out = " of at least " + boost::json::serialize(*from);
  else if (to)
    out = " of at most " + boost::json::serialize(*to);
  return out.empty() ? out : out + std::string(unit);
}

std::string typeText(const value &node) {
  const auto *type = member(node, "type");
  if (!type)
    return "another value";
  if (type->is_string())
    return typeDescription(type->get_string());
  std::string out;
  if (const auto *choices = type->if_array())
    for (const auto &it : *choices)
      if (it.is_string())
        out += (out.empty() ? "" : " or ") + typeDescription(it.get_string());
  return out;
}

} // namespace

const value *findSubschema(const value &root, const PathSteps &steps) {
  const value *node = followReferences(root, &root);
  for (const auto &step : steps) {
    if (!node)
      return nullptr;
    node = followReferences(root, childSubschema(*node, step));
  }
  return node;
}

const value *findValue(const value &root, const PathSteps &steps) {
  const value *node = &root;
  for (const auto &step : steps) {
    if (!node)
      return nullptr;
    node = childValue(*node, step);
  }
  return node;
}

std::string pathText(const value &root, const PathSteps &steps) {
  std::string out;
  const value *node = &root;
  for (const auto &step : steps) {
    if (node && node->is_array())
      out += "[" + step + "]";
    else
      out += (out.empty() ? "" : ".") + step;
    node = node ? childValue(*node, step) : nullptr;
  }
  return out.empty() ? "(document)" : out;
}

std::string describeExpectation(const value &subschema) {
  if (const auto *constant = member(subschema, "const"))
    return boost::json::serialize(*constant);
  if (const auto *choices = member(subschema, "enum"))
    if (choices->is_array())
      return "one of " + listText(choices->get_array());
  std::string out = typeText(subschema);
  out += rangeText(subschema, "minimum", "maximum", "");
  out += rangeText(subschema, "minLength", "maxLength", " characters");
  out += rangeText(subschema, "minItems", "maxItems", " elements");
  out += rangeText(subschema, "minProperties", "maxProperties", " keys");
  if (const auto *pattern = member(subschema, "pattern"))
    out += " that matches " + boost::json::serialize(*pattern);
  return out;
}

std::string describeFound(const value &found) {
  if (found.is_object())
    return "an object of " + std::to_string(found.get_object().size()) +
           " keys";
  if (found.is_array())
    return "an array of " + std::to_string(found.get_array().size()) +
           " elements";
  std::string text = boost::json::serialize(found);
  if (text.size() <= MaximumShownBytes)
    return text;
  size_t size = text.size();
  size_t cut = MaximumShownBytes;
  // Do not split a multi-byte UTF-8 character.
  while (cut > 0 && (static_cast<unsigned char>(text[cut]) & 0xC0U) == 0x80U)
    --cut;
  return text.substr(0, cut) + "... (" + std::to_string(size) + " bytes)";
}

std::string describeKnownKeys(const value &subschema) {
  const auto *properties = member(subschema, "properties");
  if (!properties || !properties->is_object())
    return "no key";
  std::string out;
  for (const auto &it : properties->get_object())
    out += (out.empty() ? "" : ", ") + std::string(it.key());
  return out.empty() ? "no key" : out;
}

} // namespace radishcross::schema
