#pragma once

#include <string>

#include "standin/replica_standin.h"

namespace jackdawrack {

/// The bytes that a replica stand-in answers to the request `id`.
[[nodiscard]] std::string MakeReplicaAnswer(
    const ReplicaStandinSettings& settings,
    const std::string& id,
    ReplicaMode mode);

/// The bytes of the copy of `answer`, which answered the request `id`.
[[nodiscard]] std::string MakeCopy(std::string answer,
                                   const std::string& id,
                                   const LateCopy& copy);

/// Puts `id` in place of each "{id}" of `text`.
[[nodiscard]] std::string FillRequestId(std::string text,
                                        const std::string& id);

}  // namespace jackdawrack
