#include <LibConfig/ExternalConfiguration.h>

#include <utility>

namespace radishcross::config {

bool ExternalConfiguration::update(ExternalVersion version,
                                   base::LastReason &reason) {
  if (version.Version <= Current.Version) {
    reason.fail(base::ResultCode::StaleBase,
                "version " + std::to_string(version.Version) +
                    " is not newer than " + std::to_string(Current.Version));
    return false;
  }
  ConfigurationVersion next{
      Current.Configuration, version.Version,
      std::make_shared<const VersionContent>(std::move(version.Content))};
  if (!Snapshot::create({next}, 0, reason))
    return false;
  Current = std::move(next);
  return true;
}

} // namespace radishcross::config
