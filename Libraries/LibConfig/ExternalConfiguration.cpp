#include <LibConfig/ExternalConfiguration.h>

#include <utility>

namespace radishcross::config {

bool ExternalConfiguration::take(ExternalVersion version,
                                 base::LastReason &reason) {
  if (version.Version <= Held.Version) {
    reason.fail(base::ResultCode::StaleBase,
                "version " + std::to_string(version.Version) +
                    " is not above " + std::to_string(Held.Version));
    return false;
  }
  HeldVersion next{
      Held.Configuration, version.Version,
      std::make_shared<const VersionContent>(std::move(version.Content))};
  if (!Snapshot::create({next}, 0, reason))
    return false;
  Held = std::move(next);
  return true;
}

} // namespace radishcross::config
