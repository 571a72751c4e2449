#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "model/endpoint.h"

namespace jackdawrack {

/// What a replica stand-in does with a request once it has taken it.
enum class ReplicaMode : std::uint8_t {
  kAnswer,
  /// 503 with the field that says that it did not run.
  kRefuse,
  /// A signed 500 after running.
  kFail,
  /// Runs and never answers.
  kHang,
  /// Runs and resets the connection.
  kReset,
  /// Runs and breaks its answer off.
  kTruncate,
  /// Answers, and sends a second answer behind it.
  kExtra,
  /// Answers with the request id of another request.
  kForeign,
  /// Answers without a length and closes.
  kUnframed,
  /// Refuses as soon as the head is there, and reads the body after that.
  kEarly,
  /// 421: another upstream has the address.
  kMisdirected,
  /// Runs and sends the bytes given by `SetRawAnswer`.
  kRaw,
};

/// How the connection ends after a raw answer.
enum class RawEnd : std::uint8_t {
  /// It stays open.
  kOpen,
  kClose,
  kReset,
};

/// Bytes that a replica stand-in sends in place of an answer. "{id}" stands for
/// the id of the request.
struct RawAnswer {
  std::string m_bytes;
  /// Sent again and again behind `m_bytes` until the caller closes; nothing if
  /// empty.
  std::string m_repeated;
  /// Pause between two of them.
  Milliseconds m_interval{0};
  RawEnd m_end = RawEnd::kOpen;
};

/// A second copy of each answer, on the connection of the first.
struct LateCopy {
  /// Time between the answer and its copy.
  Milliseconds m_delay{0};
  /// True if only the first half is sent again.
  bool m_is_half = false;
  /// Request id that the copy echoes: "{id}" for that of the answer, empty for
  /// none.
  std::string m_echoed_id = "{id}";
};

/// One request as a replica stand-in saw it.
struct SeenRequest {
  std::string m_id;
  std::string m_method;
  std::string m_target;
  std::string m_body;
  std::uint64_t m_deadline_ms = 0;
  bool m_has_run = false;

  friend bool operator==(const SeenRequest&, const SeenRequest&) = default;
};

/// How much a replica stand-in takes at once.
struct ReplicaCapacity {
  /// Requests that run at once; 0 for any number.
  std::size_t m_slots = 0;
  /// Requests that wait for a slot; further ones are refused.
  std::size_t m_queue = 0;

  friend bool operator==(const ReplicaCapacity&,
                         const ReplicaCapacity&) = default;
};

/// How a replica stand-in behaves.
struct ReplicaStandinSettings {
  std::string m_id;
  Endpoint m_endpoint;
  Milliseconds m_service_time{3};
  /// Sixteen-byte records that its part holds.
  std::vector<std::string> m_records;
};

/// A stand-in for one upstream of the users' platform. It answers GET and POST
/// with its signature, echoes the request id, and fails in the ways that the
/// platform's upstreams do. Methods may be called from any thread.
class ReplicaStandin final {
 public:
  ReplicaStandin(boost::asio::io_context& context,
                 ReplicaStandinSettings settings);
  ~ReplicaStandin();

  /// Listens; false if the address is taken.
  bool Start();

  /// What the next `count` requests meet; later ones are answered. A negative
  /// count means all.
  void SetMode(ReplicaMode mode, int count = -1);

  /// Time that each request takes from now on.
  void SetServiceTime(Milliseconds time);

  /// Sets what mode `kRaw` sends.
  void SetRawAnswer(RawAnswer answer);

  /// Adds header fields, each with its CR LF, to all answers from now on.
  void SetExtraFields(std::string fields);

  /// Sends a copy of each answer from now on.
  void SetLateCopy(LateCopy copy);

  /// Sends no more copies from now on.
  void StopCopies();

  /// Bounds what runs and waits from now on.
  void SetCapacity(const ReplicaCapacity& capacity);

  /// Answers nothing for this time; what arrives or runs meanwhile goes on
  /// then.
  void Pause(Milliseconds time);

  /// Closes the listener and all connections.
  void Stop();

  /// Listens again after `Stop`.
  void Resume();

  /// All requests so far, in order of arrival.
  [[nodiscard]] std::vector<SeenRequest> Seen() const;

  /// Requests whose connection was closed before they were answered.
  [[nodiscard]] std::uint64_t Cancelled() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
