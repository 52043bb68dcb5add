//! Cost model of an engine: continuous batching with separate prefill and decode costs and a limited prefix cache.
