#pragma once

#include <cstddef>
#include <cstdint>

namespace radishcross::log {

// The limits of the fold are part of its rules: they must be the same on every
// node.

/// Versions kept over all configurations; the oldest one not in use is dropped
/// first.
constexpr size_t MaximumVersions = 3000;
constexpr size_t MaximumConfigurations = 1000;
constexpr size_t MaximumAttachments = 4000;
constexpr size_t MaximumDrained = 4000;

/// Entries of the audit trail, and size of one entry's difference in bytes.
constexpr size_t MaximumAuditEntries = 3000;
constexpr size_t MaximumDifferenceBytes = 2048;

/// Record ids that are kept so that a repeated record is applied only once.
constexpr size_t MaximumOutcomes = 8192;
constexpr size_t MaximumReasonBytes = 240;

/// Limits of one record that is assembled from chunks.
constexpr size_t MaximumAssembledBytes = 4UL << 20;
constexpr uint32_t MaximumChunks = 512;

/// Records that may be incomplete at the same time, and for how many offsets.
constexpr size_t MaximumChunkSets = 16;
constexpr uint64_t ChunkLifetimeOffsets = 2000;

} // namespace radishcross::log
