#include <LibFleet/RecordStore.h>

namespace radishcross::fleet {

void RecordStore::add(const log::StoredRecord &record) {
  if (!Kept.empty() && record.At != Kept.back().At + 1) {
    Kept.clear();
    Bytes = 0;
  }
  Kept.push_back(record);
  Bytes += record.Bytes.size();
  while (Kept.size() > MaximumRecords || Bytes > MaximumBytes) {
    Bytes -= Kept.front().Bytes.size();
    Kept.pop_front();
  }
}

bool RecordStore::covers(log::Offset from) const {
  return !Kept.empty() && from >= Kept.front().At && from <= Kept.back().At + 1;
}

std::vector<log::StoredRecord> RecordStore::slice(log::Offset from,
                                                  size_t maximumBytes) const {
  std::vector<log::StoredRecord> result;
  if (!covers(from))
    return result;
  size_t bytes = 0;
  for (size_t n = from - Kept.front().At; n < Kept.size(); ++n) {
    bytes += Kept[n].Bytes.size();
    if (!result.empty() && bytes > maximumBytes)
      break;
    result.push_back(Kept[n]);
  }
  return result;
}

} // namespace radishcross::fleet
