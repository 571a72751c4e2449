#pragma once

#include "policy/control_policy.h"

namespace jackdawrack {

/// Logs a value that came into force, was refused, or has two texts.
void LogConfigNews(const ConfigMergeReport& news);

}  // namespace jackdawrack
