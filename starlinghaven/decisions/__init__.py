"""Parts of the decision module, each with one job. They import nothing but the interface."""
