#include <LibConfig/Difference.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace radishcross::config {

namespace {

using boost::json::array;
using boost::json::object;
using boost::json::value;

using ElementsByName = std::map<std::string_view, const object *>;

constexpr std::string_view Sections[] = {"services", "routes", "tenants"};

ElementsByName elementsOf(const value &document, std::string_view section) {
  ElementsByName out;
  const auto *object = document.if_object();
  const auto *found = object ? object->if_contains(section) : nullptr;
  const auto *list = found ? found->if_array() : nullptr;
  if (!list)
    return out;
  for (const auto &it : *list) {
    const auto *element = it.if_object();
    const auto *name = element ? element->if_contains("name") : nullptr;
    if (name && name->is_string())
      out.emplace(name->get_string(), element);
  }
  return out;
}

object changedKeys(const object &older, const object &newer) {
  std::set<std::string_view> keys;
  for (const auto &it : older)
    keys.insert(it.key());
  for (const auto &it : newer)
    keys.insert(it.key());
  object out;
  for (auto key : keys) {
    const auto *before = older.if_contains(key);
    const auto *after = newer.if_contains(key);
    if (before && after && *before == *after)
      continue;
    out[key] = array{before ? *before : value(), after ? *after : value()};
  }
  return out;
}

object sectionDifference(const ElementsByName &older,
                         const ElementsByName &newer) {
  array added;
  array removed;
  object changed;
  for (const auto &[name, element] : newer) {
    auto before = older.find(name);
    if (before == older.end()) {
      added.emplace_back(name);
      continue;
    }
    auto keys = changedKeys(*before->second, *element);
    if (!keys.empty())
      changed[name] = std::move(keys);
  }
  for (const auto &[name, element] : older)
    if (!newer.contains(name))
      removed.emplace_back(name);
  object out;
  if (!added.empty())
    out["added"] = std::move(added);
  if (!removed.empty())
    out["removed"] = std::move(removed);
  if (!changed.empty())
    out["changed"] = std::move(changed);
  return out;
}

/// Returns {"changed": {key: [older, newer]}} for the client limits.
object limitsDifference(const value &older, const value &newer) {
  static const object none;
  auto limitsOf = [](const value &document) -> const object & {
    const auto *object = document.if_object();
    const auto *found = object ? object->if_contains("limits") : nullptr;
    return found && found->is_object() ? found->get_object() : none;
  };
  auto keys = changedKeys(limitsOf(older), limitsOf(newer));
  return keys.empty() ? object() : object{{"changed", std::move(keys)}};
}

size_t sizeOf(const value &container) {
  return container.is_array() ? container.get_array().size()
                              : container.get_object().size();
}

/// Replaces lists and objects by their sizes.
object elementCounts(const object &whole) {
  object out;
  for (const auto &section : whole) {
    object numbers;
    for (const auto &it : section.value().get_object())
      numbers[it.key()] = sizeOf(it.value());
    out[section.key()] = std::move(numbers);
  }
  return out;
}

} // namespace

value difference(const value &older, const value &newer, size_t maximumBytes) {
  object out;
  for (auto section : Sections) {
    auto found = sectionDifference(elementsOf(older, section),
                                   elementsOf(newer, section));
    if (!found.empty())
      out[section] = std::move(found);
  }
  auto limits = limitsDifference(older, newer);
  if (!limits.empty())
    out["limits"] = std::move(limits);
  if (boost::json::serialize(out).size() > maximumBytes)
    return elementCounts(out);
  return out;
}

} // namespace radishcross::config
