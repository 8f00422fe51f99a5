#include <LibFleet/RecordStore.h>

namespace radishcross::fleet {

void RecordStore::add(const log::StoredRecord &record) {
  if (!Records.empty() && record.At != Records.back().At + 1) {
    Records.clear();
    Bytes = 0;
  }
  Records.push_back(record);
  Bytes += record.Bytes.size();
  while (Records.size() > MaximumRecords || Bytes > MaximumBytes) {
    Bytes -= Records.front().Bytes.size();
    Records.pop_front();
  }
}

bool RecordStore::covers(log::Offset from) const {
  return !Records.empty() && from >= Records.front().At &&
         from <= Records.back().At + 1;
}

std::vector<log::StoredRecord> RecordStore::slice(log::Offset from,
                                                  size_t maximumBytes) const {
  std::vector<log::StoredRecord> result;
  if (!covers(from))
    return result;
  size_t bytes = 0;
  for (size_t n = from - Records.front().At; n < Records.size(); ++n) {
    bytes += Records[n].Bytes.size();
    if (!result.empty() && bytes > maximumBytes)
      break;
    result.push_back(Records[n]);
  }
  return result;
}

} // namespace radishcross::fleet
