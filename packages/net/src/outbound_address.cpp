#include "net/outbound_address.h"

#include <netinet/in.h>

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

/// Defers the choice of the source port to the connect call, so that the same
/// source port can be used for several destinations.
using BindAddressNoPort =
    asio::detail::socket_option::boolean<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>;

/// Stores the source address of outgoing connections in the execution context.
class OutboundAddressService final : public asio::execution_context::service {
 public:
  using key_type = OutboundAddressService;
  inline static asio::execution_context::id id;

  explicit OutboundAddressService(asio::execution_context& context)
      : asio::execution_context::service(context) {}

  void Set(const std::string& address) { m_address = address; }
  [[nodiscard]] const std::string& Get() const { return m_address; }

 private:
  void shutdown() override {}

  std::string m_address;
};

}  // namespace

void SetOutboundAddress(asio::io_context& context, const std::string& address) {
  asio::use_service<OutboundAddressService>(context).Set(address);
}

void BindOutboundAddress(asio::ip::tcp::socket& socket,
                         boost::system::error_code& error) {
  asio::execution_context& context =
      asio::query(socket.get_executor(), asio::execution::context);
  const std::string& text =
      asio::use_service<OutboundAddressService>(context).Get();
  if (text.empty()) {
    return;
  }
  const auto address = asio::ip::make_address(text, error);
  if (error) {
    return;
  }
  const asio::ip::tcp::endpoint source(address, 0);
  socket.open(source.protocol(), error);
  if (error) {
    return;
  }
  socket.set_option(BindAddressNoPort(true), error);
  if (!error) {
    socket.bind(source, error);
  }
}

}  // namespace jackdawrack
