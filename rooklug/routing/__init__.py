"""Pure routing policies: where a request goes. Typed inputs, no input or output, no clock."""
