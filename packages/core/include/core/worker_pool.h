#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>
#include <vector>

namespace jackdawrack {

/// Runs one io_context on a fixed number of threads.
class WorkerPool final {
 public:
  explicit WorkerPool(std::size_t threads);
  ~WorkerPool();

  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /// The context that every socket and timer of the process is bound to.
  [[nodiscard]] boost::asio::io_context& Context() { return m_context; }

  /// Starts the threads; called once.
  void Start();

  /// Stops the context and joins the threads; safe to call twice.
  void Stop();

 private:
  const std::size_t m_thread_count;
  boost::asio::io_context m_context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_guard;
  std::vector<std::thread> m_threads;
};

}  // namespace jackdawrack
