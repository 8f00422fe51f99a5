#pragma once

#include <LibBase/EnumNames.h>

#include <cstdint>

namespace radishcross::config {

/// The priority class of a call; a lower value is served first. Payments and
/// deposits are critical, lookups, renewals and bookings are standard, history
/// browsing is background.
enum class Rank : uint8_t { Critical, Standard, Background };

constexpr size_t RankCount = 3;

constexpr base::EnumName<Rank> RankNames[] = {
    {Rank::Critical, "critical"},
    {Rank::Standard, "standard"},
    {Rank::Background, "background"},
};

/// Returns the less urgent of two ranks.
constexpr Rank lessUrgentOf(Rank a, Rank b) { return a < b ? b : a; }

} // namespace radishcross::config
