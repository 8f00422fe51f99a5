#pragma once

#include <LibConfig/Resources.h>

#include <string>
#include <string_view>
#include <vector>

namespace radishcross::config {

/// Stands for the service of a route that names none, or none that can be read.
/// No target reports it, so the route's requests are refused as not run instead
/// of going to the service of a shorter prefix.
constexpr std::string_view MissingServiceName = "missing service";

/// What was changed in a version so that the rest of it can be in force, one
/// sentence each.
using Repairs = std::vector<std::string>;

/// Changes a version that was accepted elsewhere, and so can't be rejected any
/// more, into one from which a snapshot can be made: of two entries with one
/// name or match the first counts, and a service that only a route names is
/// added.
Repairs repairContent(VersionContent &content);

} // namespace radishcross::config
