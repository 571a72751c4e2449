#include "request_recorder.h"

#include "core/event.h"
#include "trace_codec.h"

namespace jackdawrack {

std::shared_ptr<RequestTrace> RequestRecorder::Begin(RequestId request,
                                                     const Customer& customer,
                                                     const std::string& kind) {
  const SteadyClock clock;
  return std::make_shared<RequestTrace>(
      request, customer, kind, clock.Now(), clock.WallNowMs(),
      m_customers.ForCustomer(customer)->LateReplies());
}

void RequestRecorder::FinishQuery(const RequestTrace& trace,
                                  const QueryAnswer& answer) {
  const TraceRecord& record = trace.Record();
  m_customers.ForCustomer(record.m_customer)
      ->CountQuery(answer, trace.Counts());
  const bool is_partial = !answer.m_missing.empty();
  if (is_partial) {
    LogEvent(EventId::kAnswerPartial, "request={} coverage={:.4f}",
             answer.m_request.ToText(), answer.m_coverage);
  }
  m_traces.Add(record, is_partial || trace.Counts() != TraceCounts());
}

void RequestRecorder::FinishRun(RequestTrace& trace, const RunAnswer& answer) {
  const bool is_run = answer.m_outcome == Outcome::kRan;
  trace.RecordFinish(is_run ? 0 : 1, std::string(OutcomeName(answer.m_outcome)),
                     SteadyClock().Now());
  m_customers.ForCustomer(trace.Record().m_customer)->CountRun(answer);
  m_traces.Add(trace.Record(), !is_run);
}

void RequestRecorder::CountRefusal(const Customer& customer, EntryErrc code) {
  if (code != EntryErrc::kUnknownCustomer) {
    m_customers.ForCustomer(customer)->CountRefusal(code);
  }
}

std::optional<std::string> RequestRecorder::Explain(RequestId request) const {
  const auto record = m_traces.Find(request);
  if (!record) {
    return std::nullopt;
  }
  return EncodeTrace(*record);
}

}  // namespace jackdawrack
