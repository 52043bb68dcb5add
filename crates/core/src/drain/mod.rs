//! How an engine or a node is emptied without cutting off a request.
