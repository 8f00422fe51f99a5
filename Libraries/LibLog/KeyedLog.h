#pragma once

#include <LibBase/Random.h>
#include <LibLog/KeyedStore.h>
#include <LibLog/PlatformClient.h>

#include <memory>

namespace radishcross::log {

/// The log of changes over a keyed topic. Each record has a key of its own, so
/// that the platform keeps all of them; what it has dropped from the topic's
/// history is read from the list of keys instead.
class KeyedLog final : public PlatformClient {
public:
  KeyedLog(KeyedStore &store, uint64_t randomSeed);

  void append(std::string bytes,
              std::function<void(AppendAnswer)> done) override;
  void read(Offset from, uint32_t maximumRecords, base::Duration wait,
            std::function<void(ReadAnswer)> done) override;

private:
  KeyedStore *Store;
  base::Random Keys;
};

} // namespace radishcross::log
