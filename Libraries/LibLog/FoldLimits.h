#pragma once

#include <cstddef>
#include <cstdint>

namespace radishcross::log {

// The bounds of the fold are part of its rules: every node must have the same.

/// Versions kept in all; the oldest that is not in use is forgotten first.
constexpr size_t MaximumVersions = 3000;
constexpr size_t MaximumConfigurations = 1000;
constexpr size_t MaximumAttachments = 4000;
constexpr size_t MaximumDrained = 4000;

/// Entries of the audit trail, and bytes of one entry's difference.
constexpr size_t MaximumAuditEntries = 3000;
constexpr size_t MaximumDifferenceBytes = 2048;

/// Record ids that are remembered, so that a repeated record counts once.
constexpr size_t MaximumOutcomes = 8192;
constexpr size_t MaximumReasonBytes = 240;

/// Bounds of one record that is put together from chunks.
constexpr size_t MaximumAssembledBytes = 4UL << 20;
constexpr uint32_t MaximumChunks = 512;

/// Records that are incomplete at one time, and for how many offsets.
constexpr size_t MaximumChunkSets = 16;
constexpr uint64_t ChunkLifetimeOffsets = 2000;

} // namespace radishcross::log
