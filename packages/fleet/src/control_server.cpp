#include "fleet/control_server.h"

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include "control_json.h"
#include "fleet/control_codec.h"

namespace jackdawrack {

class ControlServer::Impl final : public jsonrpc::IProcedureInvokationHandler {
 public:
  Impl()
      : m_protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2,
            *this)) {
    jsonrpc::Procedure procedure;
    procedure.SetProcedureName(kExchangeMethod);
    procedure.SetProcedureType(jsonrpc::RPC_METHOD);
    procedure.SetReturnType(jsonrpc::JSON_OBJECT);
    procedure.SetParameterDeclarationType(jsonrpc::PARAMS_BY_NAME);
    procedure.AddParameter("message", jsonrpc::JSON_OBJECT);
    m_protocol->AddProcedure(procedure);
  }

  std::string Handle(const std::string& request, const Handler& handler) {
    m_handler = &handler;
    std::string reply;
    try {
      m_protocol->HandleRequest(request, reply);
    } catch (const Json::Exception&) {
      // Exceeds the nesting limit of jsoncpp. Clients treat an empty reply as
      // an error.
      reply.clear();
    }
    m_handler = nullptr;
    return reply;
  }

  void HandleMethodCall(jsonrpc::Procedure& /*procedure*/,
                        const Json::Value& input,
                        Json::Value& output) override {
    const auto message = ControlFromJson(input["message"]);
    if (!message) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
                                      "malformed message");
    }
    output = ControlToJson((*m_handler)(*message));
  }

  void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/,
                              const Json::Value& /*input*/) override {}

 private:
  const std::unique_ptr<jsonrpc::IProtocolHandler> m_protocol;
  const Handler* m_handler = nullptr;
};

ControlServer::ControlServer() : m_impl(std::make_unique<Impl>()) {}

ControlServer::~ControlServer() = default;

std::string ControlServer::Handle(const std::string& request,
                                  const Handler& handler) {
  return m_impl->Handle(request, handler);
}

}  // namespace jackdawrack
