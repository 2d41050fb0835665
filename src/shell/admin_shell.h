/** @file admin_shell.h The process lhub-admin: the administration API, which reads and writes the store. */
#pragma once

#include "store/store_type.h"
#include <boost/asio/io_context.hpp>
#include <lhub.grpc.pb.h>
#include <memory>

namespace lhub {

/** State of lhub-admin. Nothing is kept between two calls. Used on the thread of the context only. */
struct admin_shell {
    boost::asio::io_context& context; ///< Event loop.
    std::unique_ptr<store_client> store; ///< Client of the store.
};

/** Makes the gRPC service for operators (admin_service.cpp). */
std::unique_ptr<rpc::Admin::CallbackService> makeAdminService(admin_shell& shell);

} // namespace lhub
