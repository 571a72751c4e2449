#pragma once

#include "policy/control_policy.h"

namespace jackdawrack {

/// Logs the outcome of merging a configuration value: applied, refused or in
/// conflict with another text of the same version.
void LogConfigMerge(const ConfigMergeReport& report);

}  // namespace jackdawrack
