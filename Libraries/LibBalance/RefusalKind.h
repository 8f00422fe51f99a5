#pragma once

#include <LibBase/EnumNames.h>

#include <cstdint>

namespace radishcross::balance {

/// Why a target refused a call that its node had sent to it.
enum class RefusalKind : uint8_t {
  Full,     ///< It has no room, or nothing says that it has.
  Spurious, ///< It has slots free and runs other calls.
};

constexpr base::EnumName<RefusalKind> RefusalKindNames[] = {
    {RefusalKind::Full, "full"},
    {RefusalKind::Spurious, "spurious"},
};

} // namespace radishcross::balance
