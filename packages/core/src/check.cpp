#include "core/check.h"

#include <cstdlib>

#include "core/event.h"

namespace jackdawrack {

void FailCheck(std::string_view condition, std::string_view file, int line) {
  LogEvent(EventId::kInvariantBroken, "condition={} file={} line={}", condition,
           file, line);
  std::abort();
}

}  // namespace jackdawrack
