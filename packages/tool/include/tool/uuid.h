#pragma once

#include <string>

#include "core/clock.h"

namespace jackdawrack {

/// A UUID of version 7, minted at the given time, in the usual text form.
[[nodiscard]] std::string MakeUuidV7(UnixMs now);

}  // namespace jackdawrack
