// Implements the network between hosts with gRPC's callback API.
#include "hawthornlane/peer/peer_network.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <stdexcept>

#include "hawthornlane/peer/wire.h"
#include "peer.grpc.pb.h"

namespace hawthornlane {
namespace {

constexpr int max_message_bytes = 64 * 1024 * 1024;
constexpr auto deliver_timeout = std::chrono::seconds(2);
constexpr auto probe_timeout = std::chrono::milliseconds(500);

host_incarnation from_wire(const wire::HostIncarnation& value) {
  return {host_id(value.host()), incarnation(value.start())};
}

void to_wire(wire::HostIncarnation* target, const host_incarnation& value) {
  target->set_host(value.host.get());
  target->set_start(value.start.get());
}

/// Streams the response to a forwarded request. Owns itself until gRPC calls `OnDone`.
class forward_writer final : public grpc::ServerWriteReactor<wire::ForwardEvent>,
                             public std::enable_shared_from_this<forward_writer> {
public:
  void keep_alive(std::shared_ptr<forward_writer> own) { this->self = std::move(own); }

  void push(wire::ForwardEvent event) {
    const std::lock_guard lock(this->mutex);
    this->waiting.push_back(std::move(event));
    this->write_next();
  }

  void end(bool whole) {
    const std::lock_guard lock(this->mutex);
    this->ending = true;
    this->whole = whole;
    this->write_next();
  }

  void OnWriteDone(bool ok) override {
    const std::lock_guard lock(this->mutex);
    this->writing = false;
    this->broken = this->broken || !ok;
    this->write_next();
  }

  void OnDone() override {
    std::shared_ptr<forward_writer> last;
    const std::lock_guard lock(this->mutex);
    last = std::move(this->self);
  }

private:
  /// The caller holds `mutex`.
  void write_next() {
    if (this->writing || this->finished) {
      return;
    }
    if (!this->waiting.empty() && !this->broken) {
      this->current = std::move(this->waiting.front());
      this->waiting.pop_front();
      this->writing = true;
      this->StartWrite(&this->current);
      return;
    }
    if (this->ending) {
      this->finished = true;
      this->Finish(this->whole
                       ? grpc::Status::OK
                       : grpc::Status(grpc::StatusCode::ABORTED, "the response is incomplete"));
    }
  }

  std::mutex mutex;
  std::deque<wire::ForwardEvent> waiting;
  wire::ForwardEvent current;
  bool writing = false;
  bool ending = false;
  bool whole = true;
  bool broken = false;
  bool finished = false;
  std::shared_ptr<forward_writer> self;
};

/// Reads the response to a forwarded request. Deletes itself when gRPC calls `OnDone`.
class forward_reader final : public grpc::ClientReadReactor<wire::ForwardEvent> {
public:
  forward_reader(wire::Peer::Stub& stub, std::shared_ptr<grpc::Channel> peer_channel,
                 const forwarded_request& what, duration limit, forward_reply to)
      : channel(std::move(peer_channel)), reply(std::move(to)) {
    this->request.set_method(what.method);
    this->request.set_target(what.target);
    this->request.set_authorization(what.authorization);
    this->request.set_body(what.body);
    this->context.set_deadline(std::chrono::system_clock::now() + limit);
    stub.async()->Forward(&this->context, &this->request, this);
    this->StartRead(&this->event);
    this->StartCall();
  }

  void OnReadDone(bool ok) override {
    if (!ok) {
      return;
    }
    if (!this->started) {
      this->started = true;
      this->reply.head(this->event.status(), this->event.content_type());
    }
    if (!this->event.chunk().empty()) {
      this->reply.chunk(this->event.chunk());
    }
    this->StartRead(&this->event);
  }

  void OnDone(const grpc::Status& status) override {
    this->reply.end(status.ok() && this->started);
    delete this;
  }

private:
  std::shared_ptr<grpc::Channel> channel;
  forward_reply reply;
  grpc::ClientContext context;
  wire::ForwardRequest request;
  wire::ForwardEvent event;
  bool started = false;
};

class peer_service final : public wire::Peer::CallbackService {
public:
  explicit peer_service(peer_handlers to) : handlers(std::move(to)) {}

  void set_self(const host_incarnation& own) {
    const std::lock_guard lock(this->mutex);
    this->self = own;
  }

  grpc::ServerUnaryReactor* Deliver(grpc::CallbackServerContext* context,
                                    const wire::ShardMessage* request,
                                    wire::Received* response) override {
    const auto message = shard_message_from_bytes(request->body());
    bool for_this_host = false;
    {
      const std::lock_guard lock(this->mutex);
      for_this_host = from_wire(request->to()) == this->self;
    }
    response->set_taken(for_this_host && message.has_value());
    if (response->taken()) {
      this->handlers.on_shard(from_wire(request->from()), shard_id(request->shard()), *message);
    }
    auto* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

  grpc::ServerUnaryReactor* Gossip(grpc::CallbackServerContext* context, const wire::Probe* request,
                                   wire::Probe* /*response*/) override {
    if (const auto message = probe_from_bytes(request->body())) {
      this->handlers.on_probe(*message);
    }
    auto* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

  grpc::ServerWriteReactor<wire::ForwardEvent>* Forward(
      grpc::CallbackServerContext* /*context*/, const wire::ForwardRequest* request) override {
    auto writer = std::make_shared<forward_writer>();
    writer->keep_alive(writer);
    forward_reply reply;
    reply.head = [writer](int status, const std::string& type) {
      wire::ForwardEvent event;
      event.set_status(status);
      event.set_content_type(type);
      writer->push(std::move(event));
    };
    reply.chunk = [writer](std::string_view chunk) {
      wire::ForwardEvent event;
      event.set_chunk(std::string(chunk));
      writer->push(std::move(event));
    };
    reply.end = [writer](bool whole) { writer->end(whole); };
    this->handlers.on_forward(
        {request->method(), request->target(), request->authorization(), request->body()}, reply);
    return writer.get();
  }

private:
  peer_handlers handlers;
  std::mutex mutex;
  host_incarnation self;
};

/// One unary call in flight; owns everything that gRPC needs until the call ends.
template <class Request, class Response>
struct pending_call {
  grpc::ClientContext context;
  Request request;
  Response response;
};

}  // namespace

struct peer_network::state {
  explicit state(peer_handlers handlers) : service(std::move(handlers)) {}

  struct connection {
    std::shared_ptr<grpc::Channel> channel;
    std::shared_ptr<wire::Peer::Stub> stub;
  };

  connection connection_to(const std::string& address) {
    const std::lock_guard lock(this->mutex);
    connection& found = this->connections[address];
    if (!found.channel) {
      grpc::ChannelArguments arguments;
      arguments.SetMaxReceiveMessageSize(max_message_bytes);
      arguments.SetMaxSendMessageSize(max_message_bytes);
      arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 100);
      arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
      arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
      arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
      found.channel =
          grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
      found.stub = wire::Peer::NewStub(found.channel);
    }
    return found;
  }

  peer_service service;
  std::unique_ptr<grpc::Server> server;
  std::string address;
  std::mutex mutex;
  std::map<std::string, connection> connections;
  std::atomic<std::uint64_t> control_bytes{0};
  std::atomic<std::uint64_t> shard_bytes{0};
  std::atomic<std::uint64_t> shard_messages{0};
};

peer_network::peer_network(const std::string& listen_at, peer_handlers handlers)
    : impl(std::make_unique<state>(std::move(handlers))) {
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(listen_at, grpc::InsecureServerCredentials(), &port);
  builder.SetMaxReceiveMessageSize(max_message_bytes);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.RegisterService(&this->impl->service);
  this->impl->server = builder.BuildAndStart();
  if (!this->impl->server) {
    throw std::runtime_error("cannot listen for peers at " + listen_at);
  }
  this->impl->address = listen_at.substr(0, listen_at.rfind(':') + 1) + std::to_string(port);
}

peer_network::~peer_network() {
  this->impl->server->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(200));
}

std::string peer_network::where() const { return this->impl->address; }

void peer_network::set_self(const host_incarnation& self) { this->impl->service.set_self(self); }

void peer_network::send_shard(const std::string& address, const host_incarnation& from,
                              const host_incarnation& to, shard_id shard,
                              const shard_message& message) {
  auto call = std::make_shared<pending_call<wire::ShardMessage, wire::Received>>();
  call->request.set_shard(shard.get());
  to_wire(call->request.mutable_from(), from);
  to_wire(call->request.mutable_to(), to);
  call->request.set_body(to_bytes(message));
  call->context.set_deadline(std::chrono::system_clock::now() + deliver_timeout);
  this->impl->shard_bytes += call->request.ByteSizeLong();
  ++this->impl->shard_messages;
  const state::connection connection = this->impl->connection_to(address);
  connection.stub->async()->Deliver(&call->context, &call->request, &call->response,
                                    [call, connection](const grpc::Status& /*status*/) {});
}

void peer_network::send_probe(const std::string& address, const probe_message& message) {
  auto call = std::make_shared<pending_call<wire::Probe, wire::Probe>>();
  call->request.set_body(to_bytes(message));
  call->context.set_deadline(std::chrono::system_clock::now() + probe_timeout);
  this->impl->control_bytes += call->request.ByteSizeLong();
  const state::connection connection = this->impl->connection_to(address);
  connection.stub->async()->Gossip(&call->context, &call->request, &call->response,
                                   [call, connection](const grpc::Status& /*status*/) {});
}

void peer_network::forward(const std::string& address, const forwarded_request& request,
                           duration limit, forward_reply reply) {
  const state::connection connection = this->impl->connection_to(address);
  // Deletes itself in `OnDone`.
  new forward_reader(*connection.stub, connection.channel, request, limit, std::move(reply));
}

std::uint64_t peer_network::control_bytes_sent() const { return this->impl->control_bytes; }
std::uint64_t peer_network::shard_bytes_sent() const { return this->impl->shard_bytes; }
std::uint64_t peer_network::shard_messages_sent() const { return this->impl->shard_messages; }

}  // namespace hawthornlane
