#pragma once

#include <boost/json/value.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::schema {

/// One step from a value to a member: a key of an object or an index of an
/// array in decimal digits.
using PathSteps = std::vector<std::string>;

/// Returns the part of the JSON Schema \p root that governs the value at
/// \p steps, or null where the schema names none. References within the schema
/// are followed.
const boost::json::value *findSubschema(const boost::json::value &root,
                                        const PathSteps &steps);

/// Returns the value at \p steps below \p root, or null.
const boost::json::value *findValue(const boost::json::value &root,
                                    const PathSteps &steps);

/// Returns \p steps as text, such as `routes[2].match`; "(document)" when
/// empty. \p root tells keys from indexes.
std::string pathText(const boost::json::value &root, const PathSteps &steps);

/// Returns what \p subschema demands in a few words, such as "an integer from 1
/// to 65535".
std::string describeExpectation(const boost::json::value &subschema);

/// Returns the kind of \p value and, for a scalar, its text cut short.
std::string describeFound(const boost::json::value &value);

/// Returns the names of the keys that an object's subschema knows.
std::string describeKnownKeys(const boost::json::value &subschema);

} // namespace radishcross::schema
