#pragma once

#include "exchange/peer_exchange.h"
#include "gateway/gateway_settings.h"
#include "gateway/store_watcher.h"
#include "net/http_server.h"
#include "routing/gateway_file_settings.h"

namespace jackdawrack {

// What the settings file of an instance means to each of its parts.

/// Settings of the path of requests, with the platform's header names.
[[nodiscard]] GatewaySettings MakeGatewaySettings(
    const GatewayFileSettings& settings);

/// How often the store is read.
[[nodiscard]] StoreWatcherSettings MakeStoreWatcherSettings(
    const GatewayFileSettings& settings);

/// Who this instance is to its peers; each start has its own epoch.
[[nodiscard]] PeerExchangeSettings MakeExchangeSettings(
    const GatewayFileSettings& settings);

/// A listener for questions at `endpoint`.
[[nodiscard]] HttpServerSettings MakeServerSettings(const Endpoint& endpoint);

}  // namespace jackdawrack
