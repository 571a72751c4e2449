#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "net/http_server.h"

namespace jackdawrack {

/// How the store stand-in answers.
enum class StoreMode : std::uint8_t {
  kServe,
  /// 503 to every call.
  kRefuse,
  /// 429 to every call.
  kTooMany,
  /// No answer; waiting watches stay without one too.
  kSilent,
};

/// A stand-in for the platform's metadata store: items with revisions, paged
/// ranges, watches and a history that can be forgotten. Methods may be called
/// from any thread.
class StoreStandin final {
 public:
  StoreStandin(boost::asio::io_context& context, Endpoint endpoint);
  ~StoreStandin();

  /// Listens; the error names the address.
  NetResult<void> Start();

  /// Writes an item; its value is given as plain bytes.
  void Put(std::string key, std::string value);

  /// Writes an item whose value is served as it is given, base64 or not.
  void PutEncoded(std::string key, std::string value);

  /// Removes an item.
  void Remove(std::string key);

  /// Changes how calls are answered; waiting watches end unless silent.
  void SetMode(StoreMode mode);

  /// Time that each call takes from now on, beyond its own.
  void SetDelay(Milliseconds time);

  /// Never replies to the calls that wait now and that arrive within `time`, as
  /// if their connections had gone silent.
  void LoseReplies(Milliseconds time);

  /// Drops the history, so that watches from before get 410.
  void ForgetHistory();

  /// Calls that were received.
  [[nodiscard]] std::uint64_t CallCount() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
