/** @file admin_shell.h The administration API over the store. */
#pragma once

#include "store/store_type.h"
#include <boost/asio/io_context.hpp>
#include <lhub.grpc.pb.h>
#include <memory>

namespace lhub {

/** Everything of lhub-admin. It keeps nothing between two calls. */
struct admin_shell {
    boost::asio::io_context& context; ///< Runs everything.
    std::unique_ptr<store_client> store; ///< The platform's store.
};

/** The gRPC service towards operators. */
std::unique_ptr<rpc::Admin::CallbackService> makeAdminService(admin_shell& shell);

} // namespace lhub
