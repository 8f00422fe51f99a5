#pragma once

#include <boost/json/value.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::schema {

/// Path to a nested value. Each step is a key of an object or a decimal index
/// of an array.
using PathSteps = std::vector<std::string>;

/// Returns the subschema of the JSON Schema \p root that applies to the value
/// at \p steps, or null when there is none. Follows references within the
/// schema.
const boost::json::value *findSubschema(const boost::json::value &root,
                                        const PathSteps &steps);

/// Returns the value at \p steps below \p root, or null.
const boost::json::value *findValue(const boost::json::value &root,
                                    const PathSteps &steps);

/// Returns \p steps as text, such as `routes[2].match`; "(document)" when
/// empty. \p root distinguishes keys from indexes.
std::string pathText(const boost::json::value &root, const PathSteps &steps);

/// Returns a short description of the values that \p subschema allows, such as
/// "an integer from 1 to 65535".
std::string describeExpectation(const boost::json::value &subschema);

/// Returns a short description of \p value: the size of an object or array, or
/// the truncated text of a scalar.
std::string describeFound(const boost::json::value &value);

/// Returns the keys that the subschema of an object defines, separated by
/// commas.
std::string describeKnownKeys(const boost::json::value &subschema);

} // namespace radishcross::schema
