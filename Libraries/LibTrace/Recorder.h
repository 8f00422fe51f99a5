#pragma once

#include <LibTrace/Entry.h>

namespace radishcross::trace {

/// Receives the entries of all decision modules of one node.
class Recorder {
public:
  virtual ~Recorder() = default;
  virtual void record(Entry entry) = 0;
};

/// Discards every entry.
class NullRecorder final : public Recorder {
public:
  void record(Entry) override {}
};

} // namespace radishcross::trace
