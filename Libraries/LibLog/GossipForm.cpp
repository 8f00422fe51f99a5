#include <LibLog/GossipForm.h>

namespace radishcross::log {

std::string_view gossipForm(const StoredRecord &record) {
  if (record.Bytes.size() > MaximumRecordBytes)
    return {};
  base::LastReason reason;
  auto decoded = decodeRecord(record.Bytes, reason);
  bool isSnapshot = decoded && decoded->Kind == RecordKind::Snapshot;
  return isSnapshot ? std::string_view() : std::string_view(record.Bytes);
}

} // namespace radishcross::log
