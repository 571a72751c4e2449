#pragma once

namespace jackdawrack {

/// Makes the process log how it ends by itself, together with the lines that
/// wait to be written: event 9003 for an exception that nothing handles, event
/// 9004 with the call stack for a fatal signal. Called once, by the main
/// thread.
void InstallCrashLog();

}  // namespace jackdawrack
