# completions
