#include <LibFleet/UpdateSize.h>

namespace radishcross::fleet {

namespace {
constexpr size_t StatusBytes = 40;
constexpr size_t MemberBytes = 140;
constexpr size_t TargetBytes = 60;
constexpr size_t LabelBytes = 24;
} // namespace

size_t estimatedBytes(const MemberUpdate &update) {
  const auto &it = update.Record;
  if (!update.HasContent)
    return StatusBytes + it.Identity.Id.size();
  size_t bytes = MemberBytes + it.Identity.Id.size();
  for (const auto &[key, value] : it.Identity.NodeLabels)
    bytes += key.size() + value.size() + LabelBytes;
  for (const auto &target : it.Targets)
    bytes += target.Service.size() + target.TargetId.size() +
             target.SoftwareVersion.size() + TargetBytes;
  for (const auto &[name, version] : it.Exceptions)
    bytes += name.size() + LabelBytes;
  for (const auto &[id, epoch] : it.Departed)
    bytes += id.size() + LabelBytes;
  return bytes;
}

} // namespace radishcross::fleet
