//! Who a caller is and what keeps tenants apart.
