#pragma once

#include "exchange/peer_exchange.h"
#include "gateway/gateway_settings.h"
#include "net/http_server.h"
#include "published_updates.h"
#include "routing/gateway_file_settings.h"

namespace jackdawrack {

// What the settings file of an instance means to each of its parts.

/// Settings of the path of requests, with the platform's header names.
[[nodiscard]] GatewaySettings MakeGatewaySettings(
    const GatewayFileSettings& settings);

/// How the instance learns of published changes in time.
[[nodiscard]] PublishedUpdatesSettings MakePublishedUpdatesSettings(
    const GatewayFileSettings& settings);

/// Who this instance is to its peers; each start has its own epoch.
[[nodiscard]] PeerExchangeSettings MakeExchangeSettings(
    const GatewayFileSettings& settings);

/// A listener for questions at `endpoint`.
[[nodiscard]] HttpServerSettings MakeServerSettings(const Endpoint& endpoint);

}  // namespace jackdawrack
