#pragma once

#include <LibTrace/Recorder.h>

#include <cstdint>
#include <string>

namespace radishcross::node {

/// The recorder of one node.
class DecisionLog final : public trace::Recorder {
public:
  void record(trace::Entry) override {}
};

} // namespace radishcross::node
